package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// gatedLog reports on roundBegan that a read-index round began, and ends it with the
// next error from roundResults.
type gatedLog struct {
	replica.Log
	roundBegan   chan struct{}
	roundResults chan error
}

func (g *gatedLog) Barrier(ctx context.Context) error {
	g.roundBegan <- struct{}{}
	select {
	case err := <-g.roundResults:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestCallersDuringARoundShareTheNextOne(t *testing.T) {
	is := is.New(t)
	log := &gatedLog{roundBegan: make(chan struct{}), roundResults: make(chan error)}
	barrier := newSharedBarrier(t.Context(), log)
	first := barrier.join()
	<-log.roundBegan
	second := barrier.join()
	is.True(second != first) // the running round began before this call
	for range 20 {
		is.True(barrier.join() == second)
	}
	log.roundResults <- nil
	is.NoErr(first.wait(t.Context()))
	<-log.roundBegan
	third := barrier.join()
	is.True(third != second)
	log.roundResults <- replica.ErrNotLeader
	is.Equal(second.wait(t.Context()), replica.ErrNotLeader)
	<-log.roundBegan
	log.roundResults <- nil
	is.NoErr(third.wait(t.Context()))
}

func TestRoundsEndWithTheLeadership(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	log := &gatedLog{roundBegan: make(chan struct{}), roundResults: make(chan error)}
	round := newSharedBarrier(ctx, log).join()
	<-log.roundBegan
	cancel()
	is.Equal(round.wait(t.Context()), context.Canceled)
}
