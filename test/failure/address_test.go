package failure_test

import (
	"flag"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
)

// Listening ports are taken from below the range that the kernel gives to
// outgoing connections: a port taken from that range could be lost to one of
// them while a process restarts.
const lastPort = 32_000

// Runs beside each other take their ports from different ones on.
var firstPort = flag.Int("first-port", 20_000, "first of the ports that tests listen on")

var nextPort atomic.Int32

// freeAddress returns a loopback address that nothing listens on and that no
// other call of this run returns.
func freeAddress(t testing.TB) string {
	t.Helper()
	for port := *firstPort + int(nextPort.Add(1)); port < lastPort; port = *firstPort + int(nextPort.Add(1)) {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatalf("no free port between %d and %d", *firstPort, lastPort)
	return ""
}
