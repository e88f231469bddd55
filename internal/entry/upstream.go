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
	// idleConnection is how long a connection may be idle. A longer silence
	// could mean that something between the two ends has lost track of it, and
	// a non-idempotent request must not find that out.
	idleConnection       = time.Second
	dialTimeout          = time.Second
	maxAnswerHeader      = 64 << 10 // bytes
	expectContinueWindow = time.Second
)

var errNoConnection = errors.New("all connections granted for the endpoint are in use")

// upstream is the connection pool of one endpoint at one address.
type upstream struct {
	address   string
	transport *http.Transport
	link      *balance.Link // nil within the region
	dialer    net.Dialer

	mu    sync.Mutex
	open  int
	limit int
}

func newUpstream(address string, link *balance.Link) *upstream {
	u := &upstream{address: address, link: link, dialer: net.Dialer{Timeout: dialTimeout}}
	u.transport = &http.Transport{
		DialContext:            u.dial,
		IdleConnTimeout:        idleConnection,
		MaxIdleConnsPerHost:    64,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ExpectContinueTimeout:  expectContinueWindow,
	}
	return u
}

// setLimit sets how many connections may be open.
func (u *upstream) setLimit(limit int) {
	u.mu.Lock()
	u.limit = limit
	over := u.open > limit
	u.mu.Unlock()
	if over {
		u.transport.CloseIdleConnections()
	}
}

func (u *upstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

func (u *upstream) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if !u.reserve() {
		u.transport.CloseIdleConnections()
		if !u.reserve() {
			return nil, errNoConnection
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

// drop closes the idle connections. Those in use close when they come back.
func (u *upstream) drop() {
	u.transport.CloseIdleConnections()
}
