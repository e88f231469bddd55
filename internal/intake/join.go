package intake

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	joinInterval = time.Second
	// rejoinInterval replaces joinInterval after a Join call that failed.
	rejoinInterval = 200 * time.Millisecond
	// joinTimeout ends a Join call. It is as long as callers wait for their own calls, so
	// that a leader that is too slow for Join is too slow for them as well.
	joinTimeout = 3 * time.Second
	// maxJoins limits the Join calls in flight. More than one, so that the responses of a
	// leader slower than joinInterval still arrive before leaderContactTimeout.
	maxJoins = 2
)

// joinResult is the end of one Join call.
type joinResult struct {
	response *apiv1.JoinResponse
	err      error
}

// Run registers this entry with the leader and renews the registration until ctx
// ends. It also learns the addresses of the control processes.
func (in *Intake) Run(ctx context.Context) {
	var joins sync.WaitGroup
	defer joins.Wait()
	results, inFlight := make(chan joinResult, maxJoins), 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(joinInterval)
			if inFlight < maxJoins {
				inFlight++
				joins.Go(func() { results <- in.join(ctx) })
			}
		case result := <-results:
			inFlight--
			in.handleJoinResult(result)
			if result.err != nil {
				next.Reset(rejoinInterval)
			}
		}
	}
}

// join makes one Join call.
func (in *Intake) join(ctx context.Context) joinResult {
	ctx, cancel := context.WithTimeout(rpc.WithAttemptTimeout(ctx, attemptTimeout), joinTimeout)
	defer cancel()
	response, err := in.jobs.Join(ctx, &apiv1.JoinRequest{
		Name: in.Name, Address: in.Address, FailureDomain: in.FailureDomain,
	})
	return joinResult{response, err}
}

// handleJoinResult handles the result of a Join call and logs when readiness changes.
func (in *Intake) handleJoinResult(result joinResult) {
	wasReady := in.Ready()
	if result.err == nil {
		in.recordLeaderContact()
		in.Client.SetAddresses(result.response.GetControlAddresses())
		in.maxBodyBytes.Store(result.response.GetMaxBodyBytes())
	}
	if isReady := in.Ready(); isReady != wasReady {
		in.Logger.Info("contact with the leader changed", "ready", isReady, "leader", in.Client.Leader(), "error", result.err)
	}
}
