package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/control/tolerance"
	"github.com/pistachioport/pistachioport/internal/dispatch"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// leadershipTransferTimeout limits the transfer of leadership at shutdown.
const leadershipTransferTimeout = 3 * time.Second

// Server provides the services and leader duties of one control process.
type Server struct {
	Config

	peers           *peerClients
	reports         *reportBatcher
	reportOrder     *dispatch.ReportOrder
	leadership      atomic.Pointer[leadership] // nil while another process leads
	spares          spares
	submissions     *submissions
	formingOperator atomic.Pointer[string] // operator who asked this process to form a cluster
	memberLog       membershipLog
	tolerance       atomic.Pointer[tolerance.Assessment] // nil while another process leads, or before the first assessment
	toleranceGauges *toleranceGauges
}

// New returns a server. The caller serves its Handler and calls Run, without which
// it never performs leader duties.
func New(config Config) (*Server, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		Config: config, peers: newPeerClients(), submissions: newSubmissions(), reportOrder: dispatch.NewReportOrder(config.Metrics),
		memberLog: membershipLog{logger: config.Logger}, toleranceGauges: newToleranceGauges(config.Metrics),
	}
	s.reports = &reportBatcher{send: s.sendReports, bounded: s.IsLarge}
	return s, nil
}

// Run performs the leader's duties whenever this process leads, until ctx ends. It
// then transfers the leadership to another member. Run always returns nil.
func (s *Server) Run(ctx context.Context) error {
	defer s.peers.close()
	for {
		changed := s.Log.Changed()
		status := s.Log.Status()
		s.memberLog.observe(status)
		s.reconcileLeadership(ctx, status)
		select {
		case <-changed:
		case <-ctx.Done():
			s.transferLeadership(context.WithoutCancel(ctx))
			s.endLeadership()
			return nil
		}
	}
}

// reconcileLeadership ends a leadership whose term is over, and begins one if this
// process leads without one.
func (s *Server) reconcileLeadership(ctx context.Context, status replica.Status) {
	current := s.leadership.Load()
	if current != nil && (!status.IsLeader || status.Term != current.term) {
		s.endLeadership()
		current = nil
	}
	if current == nil && status.IsLeader {
		s.beginLeadership(ctx, status.Term)
	}
}

func (s *Server) beginLeadership(ctx context.Context, term uint64) {
	s.Logger.Info("leader duties began", "term", term)
	l := newLeadership(context.WithoutCancel(ctx), s, term)
	s.leadership.Store(l)
	l.start()
}

// endLeadership ends the leadership, if any. It hides it from the handlers first, so
// that no request received later is answered under it.
func (s *Server) endLeadership() {
	l := s.leadership.Swap(nil)
	if l == nil {
		return
	}
	l.stop()
	s.Logger.Info("leader duties ended", "term", l.term)
}

// transferLeadership asks the log to transfer the leadership, if this process leads.
func (s *Server) transferLeadership(ctx context.Context) {
	if s.leadership.Load() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := s.Log.TransferLeadership(ctx); err != nil {
		s.Logger.Warn("leadership transfer failed", "error", err)
	}
}

// currentLeadership returns the current leadership, or the error to answer with if
// this process does not lead. It does not confirm that with the other members.
func (s *Server) currentLeadership() (*leadership, error) {
	if l := s.leadership.Load(); l != nil {
		return l, nil
	}
	return nil, s.notLeader()
}

// confirmedLeadership returns the current leadership after a read-index round, so that
// subsequent reads of the state are linearizable.
func (s *Server) confirmedLeadership(ctx context.Context) (*leadership, error) {
	l, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	return l, nil
}

// notLeader returns the error that this process does not lead, with the leader's
// address if that is known.
func (s *Server) notLeader() error {
	status := s.Log.Status()
	address := status.LeaderAddr
	if status.IsLeader {
		address = "" // elected, but its leadership has not begun or has ended
	}
	return rpc.NotLeader(address)
}

// rpcError converts an error of the log into a Twirp error. For a lost leadership, a
// command whose outcome is unknown and an ended ctx, that is the error of notLeader,
// upon which the caller tries again. Every method is idempotent, so a command whose
// outcome is unknown may be sent again.
func (s *Server) rpcError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var twirpError twirp.Error
	if errors.As(err, &twirpError) {
		return err
	}
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrIndeterminate) || ctx.Err() != nil {
		return s.notLeader()
	}
	return twirp.InternalErrorWith(err)
}
