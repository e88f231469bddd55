package workercall

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Service serves a Leader over Twirp.
type Service struct {
	leader    Leader
	notLeader func() error
}

var _ apiv1.Platform = (*Service)(nil)

// NewService returns a Service for the leader. notLeader makes the error that refers
// a worker to the leading process.
func NewService(leader Leader, notLeader func() error) *Service {
	return &Service{leader: leader, notLeader: notLeader}
}

// Renew serves a worker's renewal.
func (s *Service) Renew(ctx context.Context, request *apiv1.RenewWorkerRequest) (*apiv1.RenewWorkerResponse, error) {
	renewal := &Renewal{
		Worker:     request.GetWorker(),
		Reports:    request.GetReports(),
		Usage:      resources.FromMessage(request.GetUsage()),
		MaxWait:    time.Duration(request.GetWaitMs()) * time.Millisecond,
		OrdersSeen: request.GetOrdersSeen(),
	}
	if err := renewal.validate(); err != nil {
		return nil, twirp.InvalidArgumentError("worker", err.Error())
	}
	grant, err := s.leader.Renew(ctx, renewal)
	if err != nil {
		return nil, s.twirpError(err)
	}
	return &apiv1.RenewWorkerResponse{
		LeaseMs:         grant.LeaseLength.Milliseconds(),
		OrdersRevision:  grant.OrdersRevision,
		OrdersUnchanged: grant.OrdersUnchanged,
		Orders:          grant.Orders,
		Acknowledged:    grant.Acknowledged,
	}, nil
}

func (s *Service) twirpError(err error) error {
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

// validate returns ErrInvalidRenewal if the renewal lacks a name or boot, or has a
// negative capacity.
func (r *Renewal) validate() error {
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
