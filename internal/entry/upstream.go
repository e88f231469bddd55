package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/balance"
)

const (
	// idleConnTimeout is how long a connection may be idle. A middlebox may have
	// dropped the state of a connection that is idle for longer, and a
	// non-idempotent request sent on it would have an unknown outcome.
	idleConnTimeout        = time.Second
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 64 << 10
	expectContinueTimeout  = time.Second
)

var errConnectionLimit = errors.New("all connections granted for the endpoint are in use")

// upstream is the connection pool of one endpoint at one address. It is safe for
// concurrent use.
type upstream struct {
	address   string
	transport *http.Transport
	link      *balance.LinkBudget // charged with the traffic; nil within the region
	dialer    net.Dialer

	mu    sync.Mutex
	open  int // connections, including those being dialed
	limit int // of open
}

func newUpstream(address string, link *balance.LinkBudget) *upstream {
	u := &upstream{address: address, link: link, dialer: net.Dialer{Timeout: dialTimeout}}
	u.transport = &http.Transport{
		DialContext:            u.dial,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    64,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ExpectContinueTimeout:  expectContinueTimeout,
	}
	return u
}

// setLimit sets how many connections may be open, and closes the idle ones if
// more are open.
func (u *upstream) setLimit(limit int) {
	u.mu.Lock()
	u.limit = limit
	over := u.open > limit
	u.mu.Unlock()
	if over {
		u.transport.CloseIdleConnections()
	}
}

func (u *upstream) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// dial opens a connection within the limit. If the limit is reached, it closes
// the idle connections first, and returns errConnectionLimit if it is still reached.
func (u *upstream) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if !u.reserve() {
		u.transport.CloseIdleConnections()
		if !u.reserve() {
			return nil, errConnectionLimit
		}
	}
	conn, err := u.dialer.DialContext(ctx, network, u.address)
	if err != nil {
		u.unreserve()
		return nil, err
	}
	return &connection{Conn: conn, link: u.link, onClose: u.unreserve}, nil
}

func (u *upstream) reserve() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.limit {
		return false
	}
	u.open++
	return true
}

func (u *upstream) unreserve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

// closeIdle closes the idle connections. Connections in use are closed when they
// become idle.
func (u *upstream) closeIdle() {
	u.transport.CloseIdleConnections()
}
