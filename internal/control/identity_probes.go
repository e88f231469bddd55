package control

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// identityWait is how long a check of the membership waits for processes to identify
// themselves. A call that is not answered by then goes on, and the next checks use its
// response. After identifyTimeout the process is called again beside it.
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
	calledAt time.Time               // start of the latest call if that is in flight; zero: it is not

	answeredAt time.Time // start of the call that the latest response was to
	connected  int       // calls in flight that its VM has accepted the connections of
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
		peers[i].Identity, peers[i].Connected = probe.identity, probe.connected > 0
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
	if !probe.calledAt.IsZero() && probe.connected == 0 { // the last call ends at this moment
		probe.identity = nil
	}
	calledAt, done := time.Now(), make(chan struct{})
	probe.calledAt = calledAt
	go func() {
		defer close(done)
		connected := 0
		identity, err := clients.identifyPatiently(ctx, address, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			connected = 1
			probe.connected++
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		probe.connected -= connected
		probe.end(calledAt, identity, err)
	}()
	if probe.silent || probe.identity != nil {
		return nil
	}
	return done
}

// end records the end of the call that began at the given time.
func (p *identityProbe) end(calledAt time.Time, identity *apiv1.IdentifyResponse, err error) {
	if p.calledAt.Equal(calledAt) {
		p.calledAt = time.Time{}
	}
	switch {
	case calledAt.Before(p.answeredAt): // a later call was answered
	case err == nil:
		p.identity, p.answeredAt = identity, calledAt
	default:
		p.identity = nil
	}
}

// reset forgets all processes. Calls in flight end without effect.
func (p *identityProbes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress = nil
}
