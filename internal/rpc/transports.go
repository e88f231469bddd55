package rpc

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxIdleConnections = 64 // per address
	idleTimeout        = 30 * time.Second
)

// transports holds one connection pool (http.Transport) per address, so that the
// connections of one address can be dropped alone. It is safe for concurrent use.
type transports struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	byAddress map[string]*http.Transport
}

func newTransports(dialTimeout time.Duration) *transports {
	return &transports{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, byAddress: make(map[string]*http.Transport)}
}

// get returns the transport of an address, which it creates if needed.
func (t *transports) get(address string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	transport, ok := t.byAddress[address]
	if !ok {
		transport = t.create()
		t.byAddress[address] = transport
	}
	return transport
}

// create returns a transport without connections that no address uses.
func (t *transports) create() *http.Transport {
	return &http.Transport{
		DialContext:         t.dial,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// replace lets new calls to the address use another transport, if they still use the old
// one. It returns false if they don't.
func (t *transports) replace(address string, old, other *http.Transport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] != old {
		return false
	}
	t.byAddress[address] = other
	old.CloseIdleConnections()
	return true
}

// retire drops a transport. Its idle connections are closed at once, those in use when
// their calls end. New calls get a new transport.
func (t *transports) retire(address string, transport *http.Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] == transport {
		delete(t.byAddress, address)
	}
	transport.CloseIdleConnections()
}

// keepOnly drops the transports of all other addresses.
func (t *transports) keepOnly(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, transport := range t.byAddress {
		if !slices.Contains(addresses, address) {
			delete(t.byAddress, address)
			transport.CloseIdleConnections()
		}
	}
}

// close drops all transports.
func (t *transports) close() {
	t.keepOnly(nil)
}
