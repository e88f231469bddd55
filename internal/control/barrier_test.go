package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// gatedLog does one read-index round for each error it is handed.
type gatedLog struct {
	replica.Log
	began   chan struct{}
	results chan error
}

func (g *gatedLog) Barrier(ctx context.Context) error {
	g.began <- struct{}{}
	select {
	case err := <-g.results:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestCallersDuringARoundShareTheNextOne(t *testing.T) {
	is := is.New(t)
	log := &gatedLog{began: make(chan struct{}), results: make(chan error)}
	barrier := newSharedBarrier(t.Context(), log)
	first := barrier.join()
	<-log.began
	second := barrier.join()
	is.True(second != first) // a round that has begun is too early for it
	for range 20 {
		is.True(barrier.join() == second)
	}
	log.results <- nil
	is.NoErr(first.wait(t.Context()))
	<-log.began
	third := barrier.join()
	is.True(third != second)
	log.results <- replica.ErrNotLeader
	is.Equal(second.wait(t.Context()), replica.ErrNotLeader)
	<-log.began
	log.results <- nil
	is.NoErr(third.wait(t.Context()))
}

func TestRoundsEndWithTheLeadership(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	log := &gatedLog{began: make(chan struct{}), results: make(chan error)}
	round := newSharedBarrier(ctx, log).join()
	<-log.began
	cancel()
	is.Equal(round.wait(t.Context()), context.Canceled)
}
