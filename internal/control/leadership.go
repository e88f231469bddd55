package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/lease"
)

const (
	expiryInterval   = 200 * time.Millisecond // between two looks for leases that ran out
	dutyRestartPause = time.Second            // before a failed duty runs again
)

// leadership is what this process keeps while it leads, for one term.
type leadership struct {
	server *Server
	term   uint64

	ctx    context.Context // ends with the leadership
	cancel context.CancelFunc
	duties *errgroup.Group

	barrier   *sharedBarrier
	entries   *lease.Granter // by session
	endpoints *lease.Granter // by endpoint id
	sessions  *entrySessions
	slots     SlotAllocator // nil: no slots are granted
	starved   *broadcast    // an entry's requests wait without any slot
	claims    *claimBatcher
	dispatch  *dispatch.Dispatcher // nil: callers can't hand jobs in
}

// newLeadership begins the lease accounts. The caller has withdrawn the
// previous leadership before, so no renewal that this one does not know of is
// answered later than now.
func newLeadership(ctx context.Context, server *Server, term uint64) *leadership {
	ctx, cancel := context.WithCancel(ctx)
	l := &leadership{
		server:    server,
		term:      term,
		ctx:       ctx,
		cancel:    cancel,
		duties:    &errgroup.Group{},
		barrier:   newSharedBarrier(ctx, server.Log),
		entries:   lease.NewGranter(server.Clock, server.EntryLease, server.MaxClockDrift),
		endpoints: lease.NewGranter(server.Clock, server.EndpointLease, server.MaxClockDrift),
		sessions:  newEntrySessions(),
		starved:   newBroadcast(),
	}
	l.claims = newClaimBatcher(ctx, server)
	if server.Dispatch != nil {
		l.dispatch = dispatch.New(ctx, *server.Dispatch, term)
	}
	if server.NewSlotAllocator != nil {
		l.slots = server.NewSlotAllocator()
	}
	return l
}

func (l *leadership) start() {
	l.run("formation", l.recordFormation)
	l.run("expiry", l.expireLeases)
	l.run("repair", l.repairMembership)
	if l.dispatch != nil {
		l.duties.Go(l.runDispatch)
	}
	if l.server.Placement != nil {
		l.run("placement", l.server.Placement.Run)
	}
}

func (l *leadership) stop() {
	l.cancel()
	_ = l.duties.Wait()
	l.claims.close()
}

// run does a duty until the leadership ends, and again after an error.
func (l *leadership) run(name string, duty func(context.Context) error) {
	l.duties.Go(func() error {
		for {
			err := duty(l.ctx)
			if err == nil || l.ctx.Err() != nil {
				return nil
			}
			l.server.Logger.Error("leader duty failed", "duty", name, "term", l.term, "error", err)
			if !pause(l.ctx, dutyRestartPause) {
				return nil
			}
		}
	})
}

// confirm returns once a read-index round begun after the call has shown that
// this process leads, and that the leadership has not changed.
func (l *leadership) confirm(ctx context.Context) error {
	if err := l.awaitRound(ctx, l.barrier.join()); err != nil {
		return err
	}
	if !l.current() {
		return l.server.notLeader()
	}
	return nil
}

// awaitRound returns once the read-index round has ended, with the error to
// answer with. The end of the leadership breaks a round off.
func (l *leadership) awaitRound(ctx context.Context, round *barrierRound) error {
	err := round.wait(ctx)
	if err != nil && l.ctx.Err() != nil {
		return l.server.notLeader()
	}
	return l.server.retryable(ctx, err)
}

// current reports whether the leadership still stands, as far as known here.
// The log is asked as well: it may have lost this term and won another before
// the server took notice.
func (l *leadership) current() bool {
	if l.server.leadership.Load() != l {
		return false
	}
	status := l.server.Log.Status()
	return status.IsLeader && status.Term == l.term
}

// propose commits a command stamped with this process's wall clock.
func (s *Server) propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	command.LeaderUnixMs = s.Clock.Read().Time().UnixMilli()
	result, err := s.Log.Propose(ctx, command)
	if err != nil {
		return nil, s.retryable(ctx, err)
	}
	return result, nil
}

// recordFormation gives the replicated state the cluster's identity.
func (l *leadership) recordFormation(ctx context.Context) error {
	s := l.server
	if err := s.Log.Barrier(ctx); err != nil {
		return errors.Wrap(err, "read the cluster's identity")
	}
	if s.Store.ClusterID() != "" {
		return nil
	}
	form := &apiv1.FormCluster{ClusterId: s.Log.Status().ClusterID}
	if operator := s.formOperator.Load(); operator != nil {
		form.Operator = *operator
	}
	_, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_FormCluster{FormCluster: form}})
	return err
}

// expireLeases looks for entry sessions and endpoints whose leases ran out.
func (l *leadership) expireLeases(ctx context.Context) error {
	for pause(ctx, expiryInterval) {
		l.expireEntries()
		if err := l.expireEndpoints(ctx); err != nil {
			return err
		}
	}
	return nil
}

// pause waits and returns false if ctx ended first.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
