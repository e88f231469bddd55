package intake

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// decidingLeader answers submissions after a delay.
type decidingLeader struct {
	apiv1.Jobs
	delay    time.Duration
	response *apiv1.SubmitJobResponse
}

func (l *decidingLeader) Submit(context.Context, *apiv1.SubmitJobRequest) (*apiv1.SubmitJobResponse, error) {
	time.Sleep(l.delay)
	return l.response, nil
}

// The former leader of two refused a job after an election that it had not noticed, and its caller was told that the job
// never runs. The new leader, to which the entry had sent the submission as well, accepted it.
func TestSubmissionRefusedByOneLeaderAndAcceptedByAnotherIsAccepted(t *testing.T) {
	for name, refused := range map[string]*apiv1.SubmitJobResponse{
		"rate": {Refused: true, RateLimited: true}, "late": {Refused: true}, "no route": {NoRoute: true},
		"key": {Unauthenticated: true}, "invalid": {Invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			for _, leader := range []*decidingLeader{
				{delay: attemptTimeout + 400*time.Millisecond, response: &apiv1.SubmitJobResponse{}}, {response: refused},
			} {
				server := httptest.NewServer(apiv1.NewJobsServer(leader))
				t.Cleanup(server.Close)
				addresses = append(addresses, server.Listener.Addr().String())
			}
			client := rpc.NewClient(rpc.Options{Addresses: addresses})
			t.Cleanup(client.Close)
			in := New(Config{Client: client, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()})
			in.recordLeaderContact()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			result := in.Submit(ctx, &apiv1.SubmitJobRequest{Path: "/queue/job"})
			is.Equal(result.Outcome, OutcomeDone)
		})
	}
}
