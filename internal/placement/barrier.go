package placement

import (
	"context"
	"sync"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// barrier shares read-index rounds between callers: a caller waits for a round that
// begins after its call, together with all others that arrive while the previous
// round runs.
type barrier struct {
	ctx      context.Context
	log      replica.Log
	counters *counters

	mu      sync.Mutex
	running bool
	next    *readIndexRound // the round that callers join; nil: none waits
}

// readIndexRound is one round and its result.
type readIndexRound struct {
	done chan struct{}
	err  error // valid once done is closed
}

func newBarrier(ctx context.Context, log replica.Log, counters *counters) *barrier {
	return &barrier{ctx: ctx, log: log, counters: counters}
}

// wait returns nil once a round that began after the call has confirmed that
// this process leads. Otherwise it returns the round's error or that of ctx.
func (b *barrier) wait(ctx context.Context) error {
	r := b.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *barrier) join() *readIndexRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &readIndexRound{done: make(chan struct{})}
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	return b.next
}

// run performs rounds until no caller waits.
func (b *barrier) run() {
	for {
		r := b.takeNext()
		if r == nil {
			return
		}
		b.counters.barriers.Inc(1)
		r.err = b.log.Barrier(b.ctx)
		close(r.done)
	}
}

func (b *barrier) takeNext() *readIndexRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.next
	b.next = nil
	b.running = r != nil
	return r
}
