package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	maxAwaitForceWait  = 10 * time.Second
	leaseCheckInterval = 50 * time.Millisecond // between two checks of the leases, whose expiry is not signalled
)

// AwaitForce waits until a revision is in force at every entry, that is, until
// each session that may hold a lease has reported it. A new leader first waits
// until the leases of earlier terms have expired, since it does not know their
// holders. When the wait is over, it returns the names of the entries that lag.
func (s controlService) AwaitForce(ctx context.Context, request *apiv1.AwaitForceRequest) (*apiv1.AwaitForceResponse, error) {
	l, err := s.confirmedLeadership(ctx)
	if err != nil {
		return nil, err
	}
	revision := request.GetRevision()
	if current := s.Store.Revision(); revision > current {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition,
			"revision %d does not exist; the state is at %d", revision, current)
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxAwaitForceWait)
	deadline := time.NewTimer(max(0, wait))
	defer deadline.Stop()
	for {
		waitingFor, changed := l.sessions.lagging(revision)
		leasesExpired := l.entryLeases.PredecessorLeasesExpired()
		if leasesExpired && len(waitingFor) == 0 {
			return s.confirmInForce(ctx, l)
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-l.ctx.Done():
			return nil, s.notLeader()
		case <-ctx.Done():
			return &apiv1.AwaitForceResponse{WaitingFor: waitingFor}, nil
		case <-deadline.C:
			return &apiv1.AwaitForceResponse{WaitingFor: waitingFor}, nil
		}
	}
}

// confirmInForce answers that the revision is in force, after a read-index round
// has confirmed that this process led when the sessions were checked.
func (s controlService) confirmInForce(ctx context.Context, l *leadership) (*apiv1.AwaitForceResponse, error) {
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	return &apiv1.AwaitForceResponse{InForce: true}, nil
}
