package rpc_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// submitFunc serves submissions with a function.
type submitFunc struct {
	apiv1.Jobs
	respond func(ctx context.Context) (*apiv1.SubmitJobResponse, error)
	calls   atomic.Int64
}

func (s *submitFunc) Submit(ctx context.Context, _ *apiv1.SubmitJobRequest) (*apiv1.SubmitJobResponse, error) {
	s.calls.Add(1)
	return s.respond(ctx)
}

func refuses(body []byte) bool {
	response := &apiv1.SubmitJobResponse{}
	return proto.Unmarshal(body, response) == nil && response.GetRefused()
}

// submitToTwo submits a job to a process that answers late, and is then also sent to one that refuses it at once.
func submitToTwo(t *testing.T, late func(ctx context.Context) (*apiv1.SubmitJobResponse, error)) (*apiv1.SubmitJobResponse, error) {
	t.Helper()
	lateLeader := &submitFunc{respond: late}
	refusing := &submitFunc{respond: func(context.Context) (*apiv1.SubmitJobResponse, error) {
		return &apiv1.SubmitJobResponse{Refused: true}, nil
	}}
	client := rpc.NewClient(rpc.Options{
		Addresses:      []string{serve(t, apiv1.NewJobsServer(lateLeader)), serve(t, apiv1.NewJobsServer(refusing))},
		AttemptTimeout: 50 * time.Millisecond,
	})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := client.Jobs().Submit(rpc.WithRefusals(ctx, refuses), &apiv1.SubmitJobRequest{})
	if lateLeader.calls.Load() != 1 || refusing.calls.Load() != 1 {
		t.Fatalf("%d and %d calls, not one of each process", lateLeader.calls.Load(), refusing.calls.Load())
	}
	return response, err
}

const lateAnswer = 300 * time.Millisecond

// A caller was told that its job never runs, as one of two leaders had refused it, and the other one accepted it a little
// later.
func TestRefusalOfOneLeaderDoesNotHideTheAcceptanceOfAnother(t *testing.T) {
	is := is.New(t)
	response, err := submitToTwo(t, func(context.Context) (*apiv1.SubmitJobResponse, error) {
		time.Sleep(lateAnswer)
		return &apiv1.SubmitJobResponse{}, nil
	})
	is.NoErr(err)
	is.Equal(response.GetRefused(), false)
}

func TestRefusalIsFinalOnceTheOtherProcessDoesNotLead(t *testing.T) {
	is := is.New(t)
	response, err := submitToTwo(t, func(context.Context) (*apiv1.SubmitJobResponse, error) {
		time.Sleep(lateAnswer)
		return nil, rpc.NotLeader("")
	})
	is.NoErr(err)
	is.Equal(response.GetRefused(), true)
}

// Each case is an end of the call to the other process that does not tell whether that has accepted the job.
func TestRefusalIsNotFinalWhileAnotherLeaderMayHaveAccepted(t *testing.T) {
	cases := map[string]func(ctx context.Context) (*apiv1.SubmitJobResponse, error){
		"no answer": func(ctx context.Context) (*apiv1.SubmitJobResponse, error) {
			<-ctx.Done()
			return nil, twirp.InternalError("canceled")
		},
		"leadership lost": func(context.Context) (*apiv1.SubmitJobResponse, error) {
			time.Sleep(lateAnswer)
			return nil, rpc.LeadershipLost("")
		},
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := submitToTwo(t, late)
			is.True(err != nil)
			is.Equal(errors.Is(err, rpc.ErrNoEffect), false)
		})
	}
}
