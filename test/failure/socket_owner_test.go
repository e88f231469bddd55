package failure_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Layout of a request for one socket and of its response, see inet_diag_req_v2 and inet_diag_msg in sock_diag(7).
const (
	diagHeaderBytes  = 16
	diagRequestBytes = diagHeaderBytes + 56
	diagFamilyAt     = diagHeaderBytes
	diagProtocolAt   = diagHeaderBytes + 1
	diagStatesAt     = diagHeaderBytes + 4
	diagPortsAt      = diagHeaderBytes + 8 // source, then destination
	diagSourceAt     = diagHeaderBytes + 12
	diagTargetAt     = diagHeaderBytes + 28
	diagCookieAt     = diagHeaderBytes + 48
	diagInodeAt      = diagHeaderBytes + 68 // in the response
	diagAnyCookie    = 0xffff_ffff
)

// socketInode returns the inode of the socket of a TCP connection over IPv4, 0 if there is none.
func socketInode(local, remote netip.AddrPort) uint32 {
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(socket) }()
	request := make([]byte, diagRequestBytes)
	binary.NativeEndian.PutUint32(request, diagRequestBytes)
	binary.NativeEndian.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request[diagFamilyAt], request[diagProtocolAt] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStatesAt:], 0xffff_ffff)
	binary.BigEndian.PutUint16(request[diagPortsAt:], local.Port())
	binary.BigEndian.PutUint16(request[diagPortsAt+2:], remote.Port())
	copy(request[diagSourceAt:], local.Addr().Unmap().AsSlice())
	copy(request[diagTargetAt:], remote.Addr().Unmap().AsSlice())
	binary.NativeEndian.PutUint32(request[diagCookieAt:], diagAnyCookie)
	binary.NativeEndian.PutUint32(request[diagCookieAt+4:], diagAnyCookie)
	if err := unix.Sendto(socket, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0
	}
	response := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(socket, response, 0)
	if err != nil || n < diagInodeAt+4 || binary.NativeEndian.Uint16(response[4:]) != unix.SOCK_DIAG_BY_FAMILY {
		return 0
	}
	return binary.NativeEndian.Uint32(response[diagInodeAt:])
}

// ownsSocket reports whether the process has the socket open.
func ownsSocket(pid int, inode uint32) bool {
	dir, socket := fmt.Sprintf("/proc/%d/fd", pid), fmt.Sprintf("socket:[%d]", inode)
	names, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, name := range names {
		if target, err := os.Readlink(filepath.Join(dir, name.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}
