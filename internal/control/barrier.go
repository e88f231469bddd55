package control

import (
	"context"
	"sync"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// sharedBarrier lets concurrent callers share read-index rounds. A caller that
// joins while a round runs gets the next one, which begins after that round ends.
// It is safe for concurrent use.
type sharedBarrier struct {
	ctx context.Context // ends with the leadership
	log replica.Log

	mu      sync.Mutex
	running bool
	next    *barrierRound // the round not yet begun; nil if no caller waits for one
}

// barrierRound is one round and its outcome.
type barrierRound struct {
	done chan struct{}
	err  error // set before done is closed
}

func newSharedBarrier(ctx context.Context, log replica.Log) *sharedBarrier {
	return &sharedBarrier{ctx: ctx, log: log}
}

// join returns a round that begins after the call of join.
func (b *sharedBarrier) join() *barrierRound {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &barrierRound{done: make(chan struct{})}
	}
	round := b.next
	if !b.running {
		b.running = true
		go b.run()
	}
	return round
}

// run performs rounds until no caller waits for one.
func (b *sharedBarrier) run() {
	for {
		b.mu.Lock()
		round := b.next
		b.next = nil
		if round == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		round.err = b.log.Barrier(b.ctx)
		close(round.done)
	}
}

// wait returns the round's error once it has ended, or ctx's error if that ends
// first.
func (r *barrierRound) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
