package replica

import (
	"context"

	"github.com/pistachioport/pistachioport/internal/raft"
)

// barrier waits for a read-index round and for the state machine to reach the
// round's index.
type barrier struct {
	done chan error
}

// Barrier confirms that this member leads and that the state machine has
// applied all that was committed before the call.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1)}
	select {
	case r.barriers <- b:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrNotLeader
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return ErrNotLeader
	}
}

// readRounds assigns barriers to read-index rounds. One round is under way at a
// time; it serves all barriers that waited when it began.
type readRounds struct {
	last     uint64
	waiting  []*barrier // for the next round
	underWay []*barrier
}

func (r *readRounds) wait(b *barrier) {
	r.waiting = append(r.waiting, b)
}

func (r *readRounds) confirm(round uint64) []*barrier {
	if round != r.last {
		return nil
	}
	confirmed := r.underWay
	r.underWay = nil
	return confirmed
}

// fail ends all barriers.
func (r *readRounds) fail(err error) {
	for _, b := range r.underWay {
		b.done <- err
	}
	for _, b := range r.waiting {
		b.done <- err
	}
	r.underWay = nil
	r.waiting = nil
}

// beginReadRound begins a round for the waiting barriers unless one is under
// way.
func (r *Replica) beginReadRound() {
	if r.core.Role() != raft.Leader {
		r.reads.fail(ErrNotLeader)
		return
	}
	if len(r.reads.waiting) == 0 || len(r.reads.underWay) > 0 {
		return
	}
	r.reads.last++
	r.reads.underWay = r.reads.waiting
	r.reads.waiting = nil
	if err := r.core.ReadIndex(r.reads.last); err != nil {
		r.reads.fail(translate(err))
	}
}
