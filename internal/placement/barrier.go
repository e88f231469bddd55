package placement

import (
	"context"
	"sync"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// barrier shares read-index rounds: a caller waits for a round that began after
// its call, together with all others that came while the last round ran.
type barrier struct {
	ctx    context.Context
	log    replica.Log
	counts *counts

	mu      sync.Mutex
	running bool
	next    *round // collects callers; nil: none waits
}

// round is one read-index round.
type round struct {
	done chan struct{}
	err  error // valid once done is closed
}

func newBarrier(ctx context.Context, log replica.Log, counts *counts) *barrier {
	return &barrier{ctx: ctx, log: log, counts: counts}
}

// wait returns nil once a round that began after the call has confirmed that
// this process leads.
func (b *barrier) wait(ctx context.Context) error {
	r := b.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *barrier) join() *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &round{done: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	return b.next
}

// run carries rounds out until nobody waits.
func (b *barrier) run() {
	for {
		r := b.take()
		if r == nil {
			return
		}
		b.counts.barriers.Inc(1)
		r.err = b.log.Barrier(b.ctx)
		close(r.done)
	}
}

func (b *barrier) take() *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.next
	b.next = nil
	b.running = r != nil
	return r
}
