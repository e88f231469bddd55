package replica

import (
	"context"

	"github.com/pistachioport/pistachioport/internal/raft"
)

// barrier is a Barrier call that waits for a read-index round and for the state
// machine to apply the round's index.
type barrier struct {
	done chan error // buffered
}

// Barrier returns nil once it is confirmed that this member is the leader and
// that the state machine has applied everything committed before the call. It
// returns ErrNotLeader if the member is not the leader or has stopped.
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

// readRounds assigns barriers to read-index rounds. At most one round is in
// flight; it serves all barriers that were waiting when it began. Only the
// loop uses it, and Run once the loop has ended.
type readRounds struct {
	lastRound uint64     // identifier of the latest round
	waiting   []*barrier // for the next round
	inFlight  []*barrier // served by the round in flight
}

func (r *readRounds) enqueue(b *barrier) {
	r.waiting = append(r.waiting, b)
}

// confirm ends the round in flight and returns its barriers. It returns nil if
// the given round is an earlier one.
func (r *readRounds) confirm(round uint64) []*barrier {
	if round != r.lastRound {
		return nil
	}
	confirmed := r.inFlight
	r.inFlight = nil
	return confirmed
}

// fail ends the unconfirmed barriers with err.
func (r *readRounds) fail(err error) {
	for _, b := range r.inFlight {
		b.done <- err
	}
	for _, b := range r.waiting {
		b.done <- err
	}
	r.inFlight = nil
	r.waiting = nil
}

// beginReadRound starts a read-index round for the waiting barriers unless one is
// in flight. If this member is not the leader, it fails all unconfirmed
// barriers.
func (r *Replica) beginReadRound() {
	if r.core.Role() != raft.Leader {
		r.reads.fail(ErrNotLeader)
		return
	}
	if len(r.reads.waiting) == 0 || len(r.reads.inFlight) > 0 {
		return
	}
	r.reads.lastRound++
	r.reads.inFlight = r.reads.waiting
	r.reads.waiting = nil
	if err := r.core.ReadIndex(r.reads.lastRound); err != nil {
		r.reads.fail(toLogError(err))
	}
}
