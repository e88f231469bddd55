package workercall

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Service speaks Twirp for a Leader.
type Service struct {
	leader    Leader
	notLeader func() error
}

var _ apiv1.Platform = (*Service)(nil)

// NewService returns the Twirp form of the leader. notLeader makes the error
// that sends a worker to the process that leads.
func NewService(leader Leader, notLeader func() error) *Service {
	return &Service{leader: leader, notLeader: notLeader}
}

// Renew renews a worker's lease and returns its orders.
func (s *Service) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	renewal := &Renewal{
		Worker:     request.GetWorker(),
		Reports:    request.GetReports(),
		Usage:      resources.FromMessage(request.GetUsage()),
		MaxWait:    time.Duration(request.GetWaitMs()) * time.Millisecond,
		OrdersSeen: request.GetOrdersSeen(),
	}
	if err := renewal.check(); err != nil {
		return nil, twirp.InvalidArgumentError("worker", err.Error())
	}
	grant, err := s.leader.Renew(ctx, renewal)
	if err != nil {
		return nil, s.wireError(err)
	}
	return &apiv1.RenewWorkerResponse{
		LeaseMs:         grant.LeaseLength.Milliseconds(),
		OrdersRevision:  grant.OrdersRevision,
		OrdersUnchanged: grant.OrdersUnchanged,
		Orders:          grant.Orders,
		Acknowledged:    grant.Acknowledged,
	}, nil
}

func (s *Service) wireError(err error) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		return s.notLeader()
	case errors.Is(err, ErrSuperseded):
		return twirp.NewError(twirp.FailedPrecondition, err.Error())
	case errors.Is(err, ErrLeaseEnding):
		return twirp.NewError(twirp.Aborted, err.Error())
	case errors.Is(err, context.Canceled):
		return twirp.NewError(twirp.Canceled, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return twirp.NewError(twirp.DeadlineExceeded, err.Error())
	default:
		return twirp.InternalErrorWith(err)
	}
}

// check finds what is missing from a renewal.
func (r *Renewal) check() error {
	switch {
	case r.Worker.GetName() == "":
		return errors.Wrap(ErrInvalidRenewal, "worker has no name")
	case r.Worker.GetBoot() == "":
		return errors.Wrapf(ErrInvalidRenewal, "worker %q has no boot", r.Worker.GetName())
	case resources.FromMessage(r.Worker.GetCapacity()).Negative():
		return errors.Wrapf(ErrInvalidRenewal, "worker %q has a negative capacity", r.Worker.GetName())
	default:
		return nil
	}
}
