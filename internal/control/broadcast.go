package control

import "sync"

// broadcast wakes all waiting goroutines at once. It is safe for concurrent use.
type broadcast struct {
	mu      sync.Mutex
	waiting chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{waiting: make(chan struct{})}
}

// next returns a channel that the next call of wake closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting
}

func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.waiting)
	b.waiting = make(chan struct{})
}
