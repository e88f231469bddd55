package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	maxForceWait      = 10 * time.Second
	forceLookInterval = 50 * time.Millisecond // between two looks at leases, which run out by themselves
)

// AwaitForce waits until a revision is in force at every entry: until each
// session that may hold a lease has reported it. A new leader waits until the
// leases of earlier terms have run out, since it does not know their holders.
func (s controlService) AwaitForce(ctx context.Context, request *apiv1.AwaitForceRequest) (*apiv1.AwaitForceResponse, error) {
	l, err := s.reading(ctx)
	if err != nil {
		return nil, err
	}
	revision := request.GetRevision()
	if current := s.Store.Revision(); revision > current {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"revision %d does not exist; the state is at %d", revision, current)
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxForceWait)
	deadline := time.NewTimer(max(0, wait))
	defer deadline.Stop()
	for {
		waitingFor, changed := l.sessions.behind(revision)
		settled := l.entries.Settled()
		if settled && len(waitingFor) == 0 {
			return s.inForce(ctx, l)
		}
		select {
		case <-changed:
		case <-time.After(forceLookInterval):
		case <-l.ctx.Done():
			return nil, s.notLeader()
		case <-ctx.Done():
			return &apiv1.AwaitForceResponse{WaitingFor: waitingFor}, nil
		case <-deadline.C:
			return &apiv1.AwaitForceResponse{WaitingFor: waitingFor}, nil
		}
	}
}

// inForce answers once it is certain that this process led when it looked.
func (s controlService) inForce(ctx context.Context, l *leadership) (*apiv1.AwaitForceResponse, error) {
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	return &apiv1.AwaitForceResponse{InForce: true}, nil
}
