// Package closedport provides addresses at which nothing listens, for as long as a test runs.
package closedport

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// Address returns an address of this machine at which connections are refused until the test ends. A port of a listener
// that was closed may be given to another process meanwhile; this one stays bound to a socket that does not listen.
func Address(t testing.TB) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}
