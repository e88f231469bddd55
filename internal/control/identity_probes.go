package control

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// identityWait is how long a check of the membership waits for processes to identify
// themselves. A call that is not answered by then goes on until identifyTimeout, and the
// next checks use its response.
const identityWait = 300 * time.Millisecond

// identityProbes identifies the processes that a check of the membership asks about. A
// process whose latest call was answered, or not answered in time, is called again with
// each check, but not waited for, so that the steps of a repair are delayed neither by a
// VM that is gone nor by the time that calls take.
// The zero value is ready for use. It is safe for concurrent use.
type identityProbes struct {
	mu        sync.Mutex
	byAddress map[string]*identityProbe
}

// identityProbe is what is known of the process at one address.
type identityProbe struct {
	identity *apiv1.IdentifyResponse // its latest response; nil: the latest call was not answered in time
	silent   bool                    // it has not responded since a check waited for it
	calledAt time.Time               // start of the call in flight; zero: none
}

// identify calls the peers and sets their identities. It returns once all have responded
// that it waits for, at most after identityWait.
func (p *identityProbes) identify(ctx context.Context, clients *peerClients, peers []repair.Peer) {
	var awaited []<-chan struct{}
	for _, peer := range peers {
		if done := p.begin(ctx, clients, peer.Address); done != nil {
			awaited = append(awaited, done)
		}
	}
	deadline := time.NewTimer(identityWait)
	defer deadline.Stop()
	for _, done := range awaited {
		select {
		case <-done:
			continue
		case <-deadline.C:
		case <-ctx.Done():
		}
		break
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range peers {
		probe := p.byAddress[peers[i].Address]
		peers[i].Identity = probe.identity
		probe.silent = probe.identity == nil
	}
}

// begin starts a call of the process at the address, unless one is in flight. It returns a
// channel that is closed at the end of the call, or nil if it is not to be waited for.
func (p *identityProbes) begin(ctx context.Context, clients *peerClients, address string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress == nil {
		p.byAddress = make(map[string]*identityProbe)
	}
	probe := p.byAddress[address]
	if probe == nil {
		probe = &identityProbe{}
		p.byAddress[address] = probe
	}
	if time.Since(probe.calledAt) < identifyTimeout {
		return nil
	}
	if !probe.calledAt.IsZero() { // the last call ends at this moment
		probe.identity = nil
	}
	calledAt, done := time.Now(), make(chan struct{})
	probe.calledAt = calledAt
	go func() {
		defer close(done)
		identity, err := clients.identify(ctx, address)
		p.mu.Lock()
		defer p.mu.Unlock()
		if probe.calledAt != calledAt { // a later call has begun
			return
		}
		probe.calledAt, probe.identity = time.Time{}, nil
		if err == nil {
			probe.identity = identity
		}
	}()
	if probe.silent || probe.identity != nil {
		return nil
	}
	return done
}

// reset forgets all processes. Calls in flight end without effect.
func (p *identityProbes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress = nil
}
