package failure_test

import (
	"net"
	"net/netip"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestOwnerOfAConnectionIsFound(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	local, remote := netip.MustParseAddrPort(client.LocalAddr().String()), netip.MustParseAddrPort(client.RemoteAddr().String())
	inode := socketInode(local, remote)
	is.True(inode != 0)
	is.True(ownsSocket(os.Getpid(), inode))
	is.True(!ownsSocket(os.Getppid(), inode))
	is.Equal(socketInode(local, netip.AddrPortFrom(remote.Addr(), 1)), uint32(0)) // no such connection
}
