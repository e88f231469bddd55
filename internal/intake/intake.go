package intake

import (
	"context"
	"crypto/rand"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	// maxLeaderWait is how long after the last response of a leader calls wait for
	// the next leader: an election takes about that long. Later calls wait only
	// minLeaderWait, so that callers can retry soon.
	maxLeaderWait = time.Second
	minLeaderWait = 80 * time.Millisecond
	// leaderContactTimeout is the time without a response of a leader after which
	// calls are refused without an attempt, and the entry is no longer ready for more
	// callers: an election takes less, so the entry is probably cut off, while callers
	// may be served by others. Run continues to look for a leader.
	leaderContactTimeout = 1500 * time.Millisecond
	// attemptTimeout is how long a control process may take before others are asked as
	// well who leads.
	attemptTimeout = 350 * time.Millisecond
	// responseMargin is subtracted from the caller's deadline for the transfer of
	// the response to the caller.
	responseMargin = 60 * time.Millisecond
)

// Config holds the dependencies and settings of an Intake.
type Config struct {
	Client        *rpc.Client
	Name          string
	Address       string // host:port at which this entry serves apiv1.Advisor
	FailureDomain string
	Logger        *slog.Logger
	Metrics       metrics.Registry
}

// Intake forwards callers' calls to the leader. It is safe for concurrent use.
type Intake struct {
	Config
	jobs              apiv1.Jobs
	lastLeaderContact atomic.Pointer[time.Time] // when a leader last answered
	created           time.Time
	maxBodyBytes      atomic.Int64 // of the catalog in force, as the leader stated it last; 0: not known
	draining          atomic.Bool
	inFlight          atomic.Int64                // number of calls
	outcomes          map[Outcome]metrics.Counter // calls by outcome
	callDuration      metrics.Histogram           // ms
}

// New returns an Intake. Run must be running while it serves calls.
func New(config Config) *Intake {
	in := &Intake{Config: config, jobs: config.Client.Jobs(), created: time.Now(), outcomes: make(map[Outcome]metrics.Counter)}
	for _, outcome := range allOutcomes {
		in.outcomes[outcome] = metrics.GetOrRegisterCounter("intake.calls."+string(outcome), config.Metrics)
	}
	const samples, alpha = 512, 0.015
	in.callDuration = metrics.GetOrRegisterHistogram("intake.call_ms", config.Metrics, metrics.NewExpDecaySample(samples, alpha))
	return in
}

// Outcome is the kind of result of a call.
type Outcome string

// Outcomes of a call.
const (
	OutcomeDone          Outcome = "done"
	OutcomeNoRoute       Outcome = "no_route"
	OutcomeUnknownJob    Outcome = "unknown_job"
	OutcomeInvalid       Outcome = "invalid"
	OutcomeNotRun        Outcome = "not_run" // the call had no effect and never will
	OutcomeIndeterminate Outcome = "unclear" // the call may have had an effect

	OutcomeUnauthenticated Outcome = "unauthenticated" // no workspace has the caller's API key
	OutcomeRateLimited     Outcome = "rate_limited"    // not run, as the caller's workspace sends more than it is owed
)

var allOutcomes = []Outcome{
	OutcomeDone, OutcomeNoRoute, OutcomeUnknownJob, OutcomeInvalid, OutcomeNotRun, OutcomeIndeterminate,
	OutcomeUnauthenticated, OutcomeRateLimited,
}

// CallResult is the result of a call.
type CallResult struct {
	Outcome    Outcome
	Reason     string         // why the call was invalid, not run or indeterminate
	RetryAfter time.Duration  // when to retry a call that was not run
	State      apiv1.JobState // of the job, if Read was for one
	IsQueue    bool           // Read was for a queue
	Pending    int64          // number of the queue's pending jobs
}

// Submit submits a job. It names the call in the request, which the client may send more than
// once.
func (in *Intake) Submit(ctx context.Context, request *apiv1.SubmitJobRequest) CallResult {
	request.Call = rand.Text()
	return in.call(ctx, kindSubmit, request.GetPath(), func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Submit(rpc.WithRefusals(ctx, isNotAccepted), request)
		switch {
		case err != nil:
			return CallResult{}, err
		case response.GetUnauthenticated():
			return unauthenticated(request.GetKeyDigest()), nil
		case response.GetNoRoute():
			return CallResult{Outcome: OutcomeNoRoute}, nil
		case response.GetInvalid():
			return CallResult{Outcome: OutcomeInvalid, Reason: response.GetReason()}, nil
		case response.GetRateLimited():
			return refusal(OutcomeRateLimited, response), nil
		case response.GetRefused():
			return refusal(OutcomeNotRun, response), nil
		}
		return CallResult{Outcome: OutcomeDone}, nil
	})
}

// isNotAccepted reports whether a response tells that the submitted job never runs.
func isNotAccepted(body []byte) bool {
	response := &apiv1.SubmitJobResponse{}
	if proto.Unmarshal(body, response) != nil {
		return false
	}
	return response.GetRefused() || response.GetRateLimited() || response.GetInvalid() || response.GetNoRoute() || response.GetUnauthenticated()
}

// refusal returns the result of a submission that was refused.
func refusal(outcome Outcome, response *apiv1.SubmitJobResponse) CallResult {
	return CallResult{
		Outcome: outcome, Reason: response.GetReason(),
		RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
	}
}

// unauthenticated returns the result of a call with the key digest, which may be empty.
func unauthenticated(keyDigest []byte) CallResult {
	if len(keyDigest) == 0 {
		return CallResult{Outcome: OutcomeUnauthenticated, Reason: "the request has no valid API key"}
	}
	return CallResult{Outcome: OutcomeUnauthenticated, Reason: "no workspace has the API key"}
}

// Read returns the state of a job or the number of a queue's pending jobs. keyDigest is
// the SHA-256 of the caller's API key, empty if it sent none.
func (in *Intake) Read(ctx context.Context, host, path string, keyDigest []byte) CallResult {
	return in.call(ctx, kindRead, path, func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Read(ctx, &apiv1.ReadJobRequest{Host: host, Path: path, KeyDigest: keyDigest})
		switch {
		case err != nil:
			return CallResult{}, err
		case response.GetUnauthenticated():
			return unauthenticated(keyDigest), nil
		case response.GetNoRoute():
			return CallResult{Outcome: OutcomeNoRoute}, nil
		case response.GetUnknown():
			return CallResult{Outcome: OutcomeUnknownJob}, nil
		}
		return CallResult{
			Outcome: OutcomeDone, State: response.GetState(), IsQueue: response.GetIsQueue(), Pending: response.GetPending(),
		}, nil
	})
}

// Cancel cancels a job. keyDigest is as in Read.
func (in *Intake) Cancel(ctx context.Context, host, path string, keyDigest []byte) CallResult {
	return in.call(ctx, kindCancel, path, func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Cancel(ctx, &apiv1.CancelJobRequest{Host: host, Path: path, KeyDigest: keyDigest})
		switch {
		case err != nil:
			return CallResult{}, err
		case response.GetUnauthenticated():
			return unauthenticated(keyDigest), nil
		case response.GetNoRoute():
			return CallResult{Outcome: OutcomeNoRoute}, nil
		case response.GetUnknown():
			return CallResult{Outcome: OutcomeUnknownJob}, nil
		}
		return CallResult{Outcome: OutcomeDone}, nil
	})
}

// callKind is the kind of a call.
type callKind string

const (
	kindSubmit callKind = "submit"
	kindRead   callKind = "read"
	kindCancel callKind = "cancel"
)

// call executes one call within the caller's deadline, which ctx carries, and
// counts and logs its result. Successful reads are not logged.
func (in *Intake) call(ctx context.Context, kind callKind, path string, do func(context.Context) (CallResult, error)) CallResult {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	begin := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		shorter, cancel := context.WithDeadline(ctx, deadline.Add(-responseMargin))
		defer cancel()
		ctx = shorter
	}
	callResult := in.tryCall(ctx, kind, do)
	callDuration := time.Since(begin)
	in.outcomes[callResult.Outcome].Inc(1)
	in.callDuration.Update(callDuration.Milliseconds())
	if callResult.Outcome != OutcomeDone || kind != kindRead {
		in.Logger.Info("call answered", "kind", string(kind), "path", path, "outcome", string(callResult.Outcome),
			"reason", callResult.Reason, "took_ms", callDuration.Milliseconds(), "leader", in.Client.Leader())
	}
	return callResult
}

// tryCall executes the call, or refuses it at once if no leader has responded to
// this entry for longer than leaderContactTimeout. A read that waits for an answer by
// then ends too.
func (in *Intake) tryCall(ctx context.Context, kind callKind, do func(context.Context) (CallResult, error)) CallResult {
	switch {
	case in.sinceLeaderContact() > leaderContactTimeout:
		return in.notRun("no leader answers")
	case ctx.Err() != nil: // nothing would be sent
		return in.notRun("no time is left for the call")
	}
	if kind == kindRead {
		limited, cancel := in.untilOutage(ctx)
		defer cancel()
		ctx = limited
	}
	ctx = rpc.WithAttemptTimeout(rpc.WithLeaderSearchTimeout(ctx, leaderWait(in.sinceLeaderContact())), attemptTimeout)
	callResult, err := do(ctx)
	if err != nil {
		return in.errorResult(kind, err)
	}
	in.recordLeaderContact()
	return callResult
}

// errorResult returns the result of a call that ended with an error. A read has no
// effect, so that it can always be sent again.
func (in *Intake) errorResult(kind callKind, err error) CallResult {
	if kind == kindRead || errors.Is(err, rpc.ErrNoEffect) || rpc.IsRefused(err) {
		return in.notRun(err.Error())
	}
	return CallResult{Outcome: OutcomeIndeterminate, Reason: err.Error()}
}

// recordLeaderContact records that a leader has just responded.
func (in *Intake) recordLeaderContact() {
	now := time.Now()
	in.lastLeaderContact.Store(&now)
}

// sinceLeaderContact returns the time since a leader last responded, or the maximum
// duration if none has.
func (in *Intake) sinceLeaderContact() time.Duration {
	last := in.lastLeaderContact.Load()
	if last == nil {
		return math.MaxInt64
	}
	return time.Since(*last)
}

// Ready reports whether more callers should be routed to this entry.
func (in *Intake) Ready() bool {
	return !in.draining.Load() && in.sinceLeaderContact() < leaderContactTimeout
}

// BeginDrain makes the entry not ready. Calls are still served.
func (in *Intake) BeginDrain() { in.draining.Store(true) }

// AwaitIdle waits until no call is in flight or ctx ends.
func (in *Intake) AwaitIdle(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for in.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// MaxBodyBytes returns the largest body that the catalog allows, or 0 if it is not known.
func (in *Intake) MaxBodyBytes() int64 { return in.maxBodyBytes.Load() }

// Draining reports whether BeginDrain was called.
func (in *Intake) Draining() bool { return in.draining.Load() }
