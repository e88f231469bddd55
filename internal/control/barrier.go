package control

import (
	"context"
	"sync"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// sharedBarrier lets concurrent callers share read-index rounds: whoever asks
// while a round runs joins the next one, which begins after that round ends.
type sharedBarrier struct {
	ctx context.Context // ends with the leadership
	log replica.Log

	mu      sync.Mutex
	running bool
	next    *barrierRound // joined by callers; nil if none waits
}

// barrierRound is one round and its outcome.
type barrierRound struct {
	done chan struct{}
	err  error // set before done is closed
}

func newSharedBarrier(ctx context.Context, log replica.Log) *sharedBarrier {
	return &sharedBarrier{ctx: ctx, log: log}
}

// join returns a round that begins after the call.
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

// run does rounds until nobody waits for one.
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

func (r *barrierRound) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
