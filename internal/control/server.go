package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// handoverTimeout bounds the handover of leadership at shutdown.
const handoverTimeout = 3 * time.Second

// Server is one control process's services and leader duties.
type Server struct {
	Config

	peers        *peerClients
	leadership   atomic.Pointer[leadership] // nil while another process leads
	candidates   candidates
	formOperator atomic.Pointer[string] // who asked this process to form a cluster
}

// New returns a server that serves nothing before its handler is mounted and
// leads nothing before Run.
func New(config Config) (*Server, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Server{Config: config, peers: newPeerClients()}, nil
}

// Run does the leader's duties whenever this process leads, until ctx ends.
// Then it hands leadership over.
func (s *Server) Run(ctx context.Context) error {
	defer s.peers.close()
	for {
		changed := s.Log.Changed()
		s.follow(ctx, s.Log.Status())
		select {
		case <-changed:
		case <-ctx.Done():
			s.handOver(context.WithoutCancel(ctx))
			s.endLeadership()
			return nil
		}
	}
}

// follow ends a leadership whose term has passed and begins a new one.
func (s *Server) follow(ctx context.Context, status replica.Status) {
	present := s.leadership.Load()
	if present != nil && (!status.IsLeader || status.Term != present.term) {
		s.endLeadership()
		present = nil
	}
	if present == nil && status.IsLeader {
		s.beginLeadership(ctx, status.Term)
	}
}

func (s *Server) beginLeadership(ctx context.Context, term uint64) {
	s.Logger.Info("leader duties began", "term", term)
	l := newLeadership(context.WithoutCancel(ctx), s, term)
	s.leadership.Store(l)
	l.start()
}

// endLeadership withdraws the leadership from the handlers before anything
// else, so that no request received later is answered on its accounts.
func (s *Server) endLeadership() {
	l := s.leadership.Swap(nil)
	if l == nil {
		return
	}
	l.stop()
	s.Logger.Info("leader duties ended", "term", l.term)
}

func (s *Server) handOver(ctx context.Context) {
	if s.leadership.Load() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := s.Log.TransferLeadership(ctx); err != nil {
		s.Logger.Warn("leadership was not handed over", "error", err)
	}
}

// leading returns the present leadership, or the error to answer with.
func (s *Server) leading() (*leadership, error) {
	if l := s.leadership.Load(); l != nil {
		return l, nil
	}
	return nil, s.notLeader()
}

// reading returns the present leadership after a read-index round, so that
// what is read next is linearizable.
func (s *Server) reading(ctx context.Context) (*leadership, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	if err := l.confirm(ctx); err != nil {
		return nil, err
	}
	return l, nil
}

// notLeader answers that another process leads, and which, as far as known.
func (s *Server) notLeader() error {
	status := s.Log.Status()
	address := status.LeaderAddr
	if status.IsLeader {
		address = "" // elected, but not yet or no longer on duty
	}
	return rpc.NotLeader(address)
}

// retryable turns an error of the log into an answer upon which the caller
// tries again. Every method is idempotent, so a command of unknown fate may be
// sent again.
func (s *Server) retryable(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var answer twirp.Error
	if errors.As(err, &answer) {
		return err
	}
	if errors.Is(err, replica.ErrNotLeader) || errors.Is(err, replica.ErrUnknownFate) || ctx.Err() != nil {
		return s.notLeader()
	}
	return twirp.InternalErrorWith(err)
}
