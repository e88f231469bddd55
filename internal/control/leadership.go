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
	leaseExpiryInterval = 200 * time.Millisecond // between two checks for expired leases
	dutyRestartDelay    = time.Second            // before a failed duty is run again
)

// leadership is the state of this process as the leader of one term.
type leadership struct {
	server *Server
	term   uint64
	began  time.Time

	ctx    context.Context // ends with the leadership
	cancel context.CancelFunc
	duties *errgroup.Group

	barrier        *sharedBarrier
	entryLeases    *lease.Granter // by session
	endpointLeases *lease.Granter // by endpoint id
	sessions       *entrySessions
	slots          SlotAllocator // nil: no slots are granted
	starvation     *broadcast    // woken when an entry has waiting requests and no slots
	claims         *claimBatcher
	dispatch       *dispatch.Dispatcher // nil: no jobs of callers are accepted
}

// newLeadership returns a leadership that tracks leases from now on. The caller must
// have ended the previous leadership before, so that no renewal unknown to the new
// one is answered after this call.
func newLeadership(ctx context.Context, server *Server, term uint64) *leadership {
	ctx, cancel := context.WithCancel(ctx)
	l := &leadership{
		server:         server,
		term:           term,
		began:          time.Now(),
		ctx:            ctx,
		cancel:         cancel,
		duties:         &errgroup.Group{},
		barrier:        newSharedBarrier(ctx, server.Log),
		entryLeases:    lease.NewGranter(server.Clock, server.EntryLease, server.MaxClockDrift),
		endpointLeases: lease.NewGranter(server.Clock, server.EndpointLease, server.MaxClockDrift),
		sessions:       newEntrySessions(),
		starvation:     newBroadcast(),
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
	l.runDuty("formation", l.recordFormation)
	l.runDuty("expiry", l.expireLeases)
	l.runDuty("repair", l.repairMembership)
	l.runDuty("tolerance", l.watchTolerance)
	if l.dispatch != nil {
		l.duties.Go(l.runDispatch)
	}
	if l.server.Placement != nil {
		l.runDuty("placement", l.server.Placement.Run)
	}
}

func (l *leadership) stop() {
	l.cancel()
	_ = l.duties.Wait()
	l.claims.close()
}

// runDuty starts a duty in the background until the leadership ends. A duty that
// returned an error is started again after dutyRestartDelay.
func (l *leadership) runDuty(name string, duty func(context.Context) error) {
	l.duties.Go(func() error {
		for {
			err := duty(l.ctx)
			if err == nil || l.ctx.Err() != nil {
				return nil
			}
			l.server.Logger.Error("leader duty failed", "duty", name, "term", l.term, "error", err)
			if !sleep(l.ctx, dutyRestartDelay) {
				return nil
			}
		}
	})
}

// confirm returns nil once a read-index round that began after the call has shown
// that this process still leads in the leadership's term.
func (l *leadership) confirm(ctx context.Context) error {
	if err := l.awaitRound(ctx, l.barrier.join()); err != nil {
		return err
	}
	if !l.isCurrent() {
		return l.server.notLeader()
	}
	return nil
}

// awaitRound waits for the end of a read-index round and returns the error to answer
// with. The end of the leadership aborts the round.
func (l *leadership) awaitRound(ctx context.Context, round *barrierRound) error {
	err := round.wait(ctx)
	if err != nil && l.ctx.Err() != nil {
		return l.server.notLeader()
	}
	return l.server.rpcError(ctx, err)
}

// isCurrent reports whether the leadership is still the current one, as far as this
// process knows. It checks the log as well, which may have lost this term and won
// another before the server noticed.
func (l *leadership) isCurrent() bool {
	if l.server.leadership.Load() != l {
		return false
	}
	status := l.server.Log.Status()
	return status.IsLeader && status.Term == l.term
}

// propose commits a command with the time of this process's wall clock. Its errors
// are ones to answer with.
func (s *Server) propose(ctx context.Context, command *apiv1.Command) (*apiv1.CommandResult, error) {
	command.LeaderUnixMs = s.Clock.Read().Time().UnixMilli()
	result, err := s.Log.Propose(ctx, command)
	if err != nil {
		return nil, s.rpcError(ctx, err)
	}
	return result, nil
}

// recordFormation stores the cluster's id in the replicated state, unless it is
// already there.
func (l *leadership) recordFormation(ctx context.Context) error {
	s := l.server
	if err := s.Log.Barrier(ctx); err != nil {
		return errors.Wrap(err, "read the cluster's identity")
	}
	if s.Store.ClusterID() != "" {
		return nil
	}
	form := &apiv1.FormCluster{ClusterId: s.Log.Status().ClusterID}
	if operator := s.formingOperator.Load(); operator != nil {
		form.Operator = *operator
	}
	_, err := s.propose(ctx, &apiv1.Command{Body: &apiv1.Command_FormCluster{FormCluster: form}})
	return err
}

// expireLeases periodically removes the entry sessions and endpoints whose leases
// have expired.
func (l *leadership) expireLeases(ctx context.Context) error {
	for sleep(ctx, leaseExpiryInterval) {
		l.expireEntries()
		if err := l.expireEndpoints(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for the given time. It returns false if ctx ended first.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
