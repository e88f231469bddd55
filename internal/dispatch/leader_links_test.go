package dispatch

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// leaderLinks is what the leader of each term reaches: a majority of the control processes, and
// the workers.
type leaderLinks struct {
	latency time.Duration // of a call to a worker; in virtual time, polls without a wait would follow each other for ever if it were 0

	mu       sync.Mutex
	frozen   map[uint64]chan struct{}     // by term; closed once the leader's process continues
	isolated map[uint64]bool              // by term: it reaches no majority
	cut      map[workerLink]chan struct{} // closed once the link is restored
}

// workerLink is the link from the leader of a term to a worker.
type workerLink struct {
	term   uint64
	worker string
}

func newLeaderLinks() *leaderLinks {
	return &leaderLinks{frozen: make(map[uint64]chan struct{}), isolated: make(map[uint64]bool), cut: make(map[workerLink]chan struct{})}
}

// isolate cuts the term's leader off from the other control processes.
func (l *leaderLinks) isolate(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated[term] = true
}

// freeze suspends the calls of the term's leader, until thaw.
func (l *leaderLinks) freeze(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen[term] == nil {
		l.frozen[term] = make(chan struct{})
	}
}

func (l *leaderLinks) thaw(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if thawed := l.frozen[term]; thawed != nil {
		close(thawed)
		delete(l.frozen, term)
	}
}

// cutWorker holds up the calls of the term's leader to the worker, until healWorker.
func (l *leaderLinks) cutWorker(term uint64, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := (workerLink{term, worker}); l.cut[link] == nil {
		l.cut[link] = make(chan struct{})
	}
}

func (l *leaderLinks) healWorker(term uint64, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if healed := l.cut[workerLink{term, worker}]; healed != nil {
		close(healed)
		delete(l.cut, workerLink{term, worker})
	}
}

// healAll ends all cuts and freezes. Leaders that are isolated stay so.
func (l *leaderLinks) healAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, thawed := range l.frozen {
		close(thawed)
	}
	for _, healed := range l.cut {
		close(healed)
	}
	clear(l.frozen)
	clear(l.cut)
}

func (l *leaderLinks) reachesQuorum(term uint64) bool {
	l.waitWhileFrozen(term)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isolated[term]
}

func (l *leaderLinks) waitWhileFrozen(term uint64) {
	l.mu.Lock()
	thawed := l.frozen[term]
	l.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// healed returns a channel that is closed once the link is restored, or nil if it is not cut.
func (l *leaderLinks) healed(link workerLink) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if healed := l.cut[link]; healed != nil {
		return healed
	}
	return nil
}

// callOverLink makes a call of a leader to a worker. A call over a link that is cut is executed
// once the link is restored, also if the leader has given it up by then.
func callOverLink[R any](ctx context.Context, d clusterWorkerClient, worker *apiv1.PoolWorker, call func() (R, error)) (R, error) {
	var none R
	d.links.waitWhileFrozen(d.term)
	time.Sleep(d.links.latency)
	healed := d.links.healed(workerLink{d.term, worker.GetAddress()})
	if healed == nil {
		return call()
	}
	type result struct {
		response R
		err      error
	}
	done := make(chan result, 1)
	go func() {
		<-healed
		response, err := call()
		done <- result{response, err}
	}()
	select {
	case r := <-done:
		return r.response, r.err
	case <-ctx.Done():
		return none, errNoResponse
	}
}
