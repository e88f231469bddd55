package failure_test

import (
	"flag"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
)

// lastPort is exclusive. It lies below the kernel's ephemeral port range: an outgoing
// connection could take a port of that range while the process that listens on it
// restarts.
const lastPort = 32_000

// Concurrent test runs need different first ports.
var firstPort = flag.Int("first-port", 20_000, "first of the ports that tests listen on")

var nextPort atomic.Int32

// freeAddress returns a loopback host:port on which nothing listens and which no
// other call in this process returns.
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
