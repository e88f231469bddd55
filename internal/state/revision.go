package state

import "sync"

// revisionCounter counts changes and wakes those who wait for the next one.
type revisionCounter struct {
	mu       sync.Mutex
	value    uint64
	advanced chan struct{} // closed and replaced whenever value grows
}

func newRevisionCounter() *revisionCounter {
	return &revisionCounter{advanced: make(chan struct{})}
}

func (r *revisionCounter) current() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

// advance shows a larger revision. A smaller or equal one changes nothing.
func (r *revisionCounter) advance(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.value {
		return
	}
	r.value = revision
	close(r.advanced)
	r.advanced = make(chan struct{})
}

func (r *revisionCounter) changedAfter(after uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value > after {
		return closedChannel
	}
	return r.advanced
}

var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()
