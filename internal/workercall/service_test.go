package workercall_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/workercall"
)

// fakeLeader returns a fixed response and records the last renewal.
type fakeLeader struct {
	grant *workercall.Grant
	err   error
	last  *workercall.Renewal
}

func (l *fakeLeader) Renew(_ context.Context, renewal *workercall.Renewal) (*workercall.Grant, error) {
	l.last = renewal
	return l.grant, l.err
}

func TestRenewConvertsMessages(t *testing.T) {
	is := is.New(t)
	l := &fakeLeader{grant: &workercall.Grant{LeaseLength: 4 * time.Second, OrdersRevision: 7, OrdersUnchanged: true, Acknowledged: []string{"a"}}}
	service := workercall.NewService(l, func() error { return rpc.NotLeader("") })
	response, err := service.Renew(context.Background(), &apiv1.RenewWorkerRequest{
		Worker: &apiv1.Worker{Name: "w", Boot: "b"}, WaitMs: 1500, OrdersSeen: 6,
		Usage: &apiv1.Resources{CpuMillis: 5},
	})
	is.NoErr(err)
	is.Equal(l.last.MaxWait, 1500*time.Millisecond)
	is.Equal(l.last.OrdersSeen, uint64(6))
	is.Equal(l.last.Usage.CPU, int64(5))
	is.Equal(response.GetLeaseMs(), int64(4000))
	is.Equal(response.GetOrdersRevision(), uint64(7))
	is.True(response.GetOrdersUnchanged())
	is.Equal(response.GetAcknowledged(), []string{"a"})
}

func TestErrorsMapToTwirpCodes(t *testing.T) {
	worker := &apiv1.Worker{Name: "w", Boot: "b"}
	cases := []struct {
		name   string
		worker *apiv1.Worker
		err    error
		want   twirp.ErrorCode
	}{
		{"no worker", nil, nil, twirp.InvalidArgument},
		{"no name", &apiv1.Worker{Boot: "b"}, nil, twirp.InvalidArgument},
		{"no boot", &apiv1.Worker{Name: "w"}, nil, twirp.InvalidArgument},
		{"negative capacity", &apiv1.Worker{Name: "w", Boot: "b", Capacity: &apiv1.Resources{CpuMillis: -1}}, nil, twirp.InvalidArgument},
		{"not the leader", worker, workercall.ErrNotLeader, twirp.Unavailable},
		{"superseded boot", worker, errors.Wrap(workercall.ErrSuperseded, "boot"), twirp.FailedPrecondition},
		{"lease ending", worker, workercall.ErrLeaseEnding, twirp.Aborted},
		{"caller gone", worker, context.Canceled, twirp.Canceled},
		{"too late", worker, context.DeadlineExceeded, twirp.DeadlineExceeded},
		{"other", worker, errors.New("disk"), twirp.Internal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			service := workercall.NewService(&fakeLeader{err: c.err}, func() error { return rpc.NotLeader("") })
			_, err := service.Renew(context.Background(), &apiv1.RenewWorkerRequest{Worker: c.worker})
			var wire twirp.Error
			is.True(errors.As(err, &wire))
			is.Equal(wire.Code(), c.want)
		})
	}
}
