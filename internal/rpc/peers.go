package rpc

import (
	"sync"
	"time"
)

// peers holds what the calls of a client have learned about the process at each address.
// It is safe for concurrent use.
type peers struct {
	mu        sync.Mutex
	byAddress map[string]*peer
}

// peer is what is known about one process.
type peer struct {
	inFlight     int                   // number of attempts
	resending    bool                  // a request is being sent again over a connection of its own
	lastResponse time.Time             // zero: none
	methods      map[string]responseTo // last responses by the request's URL path
}

// responseTo is the response to the request of a method that was sent last among those
// that were answered.
type responseTo struct {
	sentAt     time.Time
	receivedAt time.Time // of the last response of the method
}

func newPeers() *peers {
	return &peers{byAddress: make(map[string]*peer)}
}

// get returns the peer at the address. p.mu must be held.
func (p *peers) get(address string) *peer {
	one, ok := p.byAddress[address]
	if !ok {
		one = &peer{methods: make(map[string]responseTo)}
		p.byAddress[address] = one
	}
	return one
}

// beginAttempt records that an attempt is in flight. endAttempt must be called after it.
func (p *peers) beginAttempt(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).inFlight++
}

// endAttempt ends what beginAttempt began.
func (p *peers) endAttempt(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).inFlight--
}

// isBusy reports whether an attempt is in flight at the address.
func (p *peers) isBusy(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(address).inFlight > 0
}

// recordResponse records the response to a request that was sent at the given time.
func (p *peers) recordResponse(address, method string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, now := p.get(address), time.Now()
	one.lastResponse = now
	response := one.methods[method]
	response.receivedAt = now
	if sentAt.After(response.sentAt) {
		response.sentAt = sentAt
	}
	one.methods[method] = response
}

// respondedSince reports whether any response has come from the address since then.
func (p *peers) respondedSince(address string, then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(address).lastResponse.After(then)
}

// hasAnswered reports whether the process has responded to a request of the method that
// was sent at the given time or later.
func (p *peers) hasAnswered(address, method string, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.get(address).methods[method].sentAt.Before(sentAt)
}

// isSilent reports whether a request of the method may be sent again over a connection of
// its own: nothing of the method has been answered for the given time, and no other call
// does the same.
func (p *peers) isSilent(address, method string, quiet time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.get(address)
	return !one.resending && time.Since(one.methods[method].receivedAt) >= quiet
}

// beginResend reserves the one resend at the address. It returns false if another call has
// it. endResend must be called after it.
func (p *peers) beginResend(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.get(address)
	if one.resending {
		return false
	}
	one.resending = true
	return true
}

// endResend ends what beginResend began.
func (p *peers) endResend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).resending = false
}
