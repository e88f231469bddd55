package intake

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	// electionPatience is how long after the last word from a leader a call
	// waits for the next one: an election takes about that long. After that,
	// callers are refused at once, so that they can come back.
	electionPatience = time.Second
	leastPatience    = 80 * time.Millisecond
	// silenceToRefuse is how long no leader has answered when callers are
	// refused without a try. The entry itself goes on looking for one.
	silenceToRefuse = 1500 * time.Millisecond
	// attemptTimeout is how long one control process may take for a call. A
	// call may be sent again, so a short time costs little.
	attemptTimeout = 350 * time.Millisecond
	// answerMargin is the time left for the answer's way to the caller.
	answerMargin = 60 * time.Millisecond
	// leaderRetryAfter is when a caller should come back while there is no
	// leader: an election takes about that long.
	leaderRetryAfter = 400 * time.Millisecond
	joinEvery        = time.Second
	// rejoinEvery is the time between two looks for a leader while there is none.
	rejoinEvery = 200 * time.Millisecond
	// joinExpiry is how old the last contact with the leader may be while the
	// entry asks for more callers.
	joinExpiry = 3 * time.Second
)

// Config sets an Intake up.
type Config struct {
	Client        *rpc.Client
	Name          string
	Address       string // where this entry serves Advisor
	FailureDomain string
	Logger        *slog.Logger
	Metrics       metrics.Registry
}

// Intake carries callers' calls to the leader.
type Intake struct {
	Config
	jobs     apiv1.Jobs
	contact  atomic.Pointer[time.Time] // when a leader last answered
	draining atomic.Bool
	inFlight atomic.Int64
	outcomes map[Outcome]metrics.Counter
	took     metrics.Histogram
}

// New returns an Intake. Run must go on while it serves.
func New(config Config) *Intake {
	in := &Intake{Config: config, jobs: config.Client.Jobs(), outcomes: make(map[Outcome]metrics.Counter)}
	for _, outcome := range []Outcome{OutcomeDone, OutcomeNoRoute, OutcomeUnknownJob, OutcomeInvalid, OutcomeNotRun, OutcomeIndeterminate} {
		in.outcomes[outcome] = metrics.GetOrRegisterCounter("intake.calls."+string(outcome), config.Metrics)
	}
	const samples, alpha = 512, 0.015
	in.took = metrics.GetOrRegisterHistogram("intake.call_ms", config.Metrics, metrics.NewExpDecaySample(samples, alpha))
	return in
}

// Outcome is what became of a call.
type Outcome string

// Outcomes.
const (
	OutcomeDone          Outcome = "done"
	OutcomeNoRoute       Outcome = "no_route"
	OutcomeUnknownJob    Outcome = "unknown_job"
	OutcomeInvalid       Outcome = "invalid"
	OutcomeNotRun        Outcome = "not_run" // it had no effect and never will
	OutcomeIndeterminate Outcome = "unclear" // it may have had an effect
)

// CallResult is the answer to a call.
type CallResult struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // after which a refused call has better prospects
	State      apiv1.JobState
	IsQueue    bool
	Pending    int64
}

// Submit hands a job in.
func (in *Intake) Submit(ctx context.Context, request *apiv1.SubmitJobRequest) CallResult {
	return in.call(ctx, "submit", request.GetPath(), func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Submit(ctx, request)
		switch {
		case err != nil:
			return CallResult{}, err
		case response.GetNoRoute():
			return CallResult{Outcome: OutcomeNoRoute}, nil
		case response.GetInvalid():
			return CallResult{Outcome: OutcomeInvalid, Reason: response.GetReason()}, nil
		case response.GetRefused():
			return CallResult{
				Outcome: OutcomeNotRun, Reason: response.GetReason(),
				RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
			}, nil
		}
		return CallResult{Outcome: OutcomeDone}, nil
	})
}

// Read asks for a job's state, or for a queue's pending jobs.
func (in *Intake) Read(ctx context.Context, host, path string) CallResult {
	return in.call(ctx, "read", path, func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Read(ctx, &apiv1.ReadJobRequest{Host: host, Path: path})
		switch {
		case err != nil:
			return CallResult{}, err
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

// Cancel cancels a job.
func (in *Intake) Cancel(ctx context.Context, host, path string) CallResult {
	return in.call(ctx, "cancel", path, func(ctx context.Context) (CallResult, error) {
		response, err := in.jobs.Cancel(ctx, &apiv1.CancelJobRequest{Host: host, Path: path})
		switch {
		case err != nil:
			return CallResult{}, err
		case response.GetNoRoute():
			return CallResult{Outcome: OutcomeNoRoute}, nil
		case response.GetUnknown():
			return CallResult{Outcome: OutcomeUnknownJob}, nil
		}
		return CallResult{Outcome: OutcomeDone}, nil
	})
}

// call makes one call within the caller's deadline, which ctx carries.
func (in *Intake) call(ctx context.Context, kind, path string, do func(context.Context) (CallResult, error)) CallResult {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	begin := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		shorter, cancel := context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
		ctx = shorter
	}
	answer := in.try(ctx, do)
	took := time.Since(begin)
	in.outcomes[answer.Outcome].Inc(1)
	in.took.Update(took.Milliseconds())
	if answer.Outcome != OutcomeDone || kind != "read" {
		in.Logger.Info("call answered", "kind", kind, "path", path, "outcome", string(answer.Outcome),
			"reason", answer.Reason, "took_ms", took.Milliseconds(), "leader", in.Client.Leader())
	}
	return answer
}

// try makes the call, unless no leader has answered anybody here for so long
// that it would only keep the caller waiting.
func (in *Intake) try(ctx context.Context, do func(context.Context) (CallResult, error)) CallResult {
	if in.silence() > silenceToRefuse {
		return CallResult{Outcome: OutcomeNotRun, Reason: "no leader answers", RetryAfter: leaderRetryAfter}
	}
	ctx = rpc.WithAttemptTimeout(rpc.WithPatience(ctx, in.patience()), attemptTimeout)
	answer, err := do(ctx)
	if err != nil {
		return in.failed(err)
	}
	in.answered()
	return answer
}

func (in *Intake) failed(err error) CallResult {
	if errors.Is(err, rpc.ErrNotDone) || rpc.IsRefused(err) {
		return CallResult{Outcome: OutcomeNotRun, Reason: err.Error(), RetryAfter: leaderRetryAfter}
	}
	return CallResult{Outcome: OutcomeIndeterminate, Reason: err.Error()}
}

// patience is how long a call may look for a leader.
func (in *Intake) patience() time.Duration {
	return max(leastPatience, electionPatience-in.silence())
}

func (in *Intake) answered() {
	now := time.Now()
	in.contact.Store(&now)
}

// silence is the time since a leader last answered.
func (in *Intake) silence() time.Duration {
	last := in.contact.Load()
	if last == nil {
		return math.MaxInt64
	}
	return time.Since(*last)
}

// Ready reports whether more callers should be sent here.
func (in *Intake) Ready() bool {
	return !in.draining.Load() && in.silence() < joinExpiry
}

// BeginDrain asks for no more callers. Those that come are still served.
func (in *Intake) BeginDrain() { in.draining.Store(true) }

// AwaitIdle waits until no call is in flight or ctx ends.
func (in *Intake) AwaitIdle(ctx context.Context) {
	const look = 20 * time.Millisecond
	for in.inFlight.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(look):
		}
	}
}

// Draining reports whether the entry shuts down.
func (in *Intake) Draining() bool { return in.draining.Load() }

// Run keeps the leader told that this entry is there until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(rpc.WithAttemptTimeout(ctx, attemptTimeout), joinEvery)
		response, err := in.jobs.Join(call, &apiv1.JoinRequest{
			Name: in.Name, Address: in.Address, FailureDomain: in.FailureDomain,
		})
		cancel()
		in.noteJoin(response, err)
		pause := joinEvery
		if err != nil {
			pause = rejoinEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (in *Intake) noteJoin(response *apiv1.JoinResponse, err error) {
	was := in.Ready()
	if err == nil {
		in.answered()
		in.Client.SetAddresses(response.GetControlAddresses())
	}
	if is := in.Ready(); is != was {
		in.Logger.Info("contact with the leader changed", "ready", is, "leader", in.Client.Leader(), "error", err)
	}
}
