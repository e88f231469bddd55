package rpc

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxIdleConnections = 64 // of one address
	idleTimeout        = 30 * time.Second
)

// pools keeps the connections by address, so that those of one address can be
// given up alone.
type pools struct {
	dialTimeout time.Duration

	mu        sync.Mutex
	byAddress map[string]*http.Transport
}

func newPools(dialTimeout time.Duration) *pools {
	return &pools{dialTimeout: dialTimeout, byAddress: make(map[string]*http.Transport)}
}

func (p *pools) get(address string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.byAddress[address]
	if !ok {
		pool = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: p.dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
		p.byAddress[address] = pool
	}
	return pool
}

// retire gives a pool up. Its idle connections are closed at once, those in
// use when their calls end; new calls take a new pool.
func (p *pools) retire(address string, pool *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress[address] == pool {
		delete(p.byAddress, address)
	}
	pool.CloseIdleConnections()
}

// keepOnly gives up the pools of all other addresses.
func (p *pools) keepOnly(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.byAddress {
		if !slices.Contains(addresses, address) {
			delete(p.byAddress, address)
			pool.CloseIdleConnections()
		}
	}
}

func (p *pools) close() {
	p.keepOnly(nil)
}
