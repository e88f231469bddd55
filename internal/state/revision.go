package state

import "sync"

// revisionCounter holds the current revision and notifies waiters when it grows. It
// is safe for concurrent use.
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

// advance raises the revision and wakes all waiters. A smaller or equal revision
// changes nothing.
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
