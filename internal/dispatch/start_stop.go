package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// startRuns creates the runs of the placements and sends their start requests. The
// caller holds the lock, has checked that they fit and has reserved their starts in the ledger. The members of a gang get
// the same run number.
func (p *pool) startRuns(u *unit, placed []placement, now time.Time) {
	gangRunNumber := int64(0)
	if u.spec.GetGang() {
		gangRunNumber = u.nextRunNumber(p.d.term)
	}
	if !u.job.placed {
		u.job.placed = true
		p.d.counters.timeToFirstStart.Update(now.Sub(u.job.accepted).Milliseconds())
	}
	for _, assignment := range placed {
		runNumber := gangRunNumber
		if runNumber == 0 {
			runNumber = u.nextRunNumber(p.d.term)
		}
		r := &run{
			task: assignment.task, name: assignment.task.name().String(), number: runNumber, worker: assignment.worker,
			size: u.size, phase: phaseStarting, decidedAt: now, startSent: now, ticket: assignment.ticket,
			risk: u.risk, workspace: u.job.workspace, countedSize: u.countedSize, counted: u.job.workspace != "",
		}
		assignment.task.setRun(r)
		assignment.worker.addRun(r)
		assignment.worker.health.recordPlacement(r, now)
		p.d.counters.startsSent.Inc(1)
		p.d.orderSlots.plan()
		checkpoint := assignment.task.checkpoint
		p.d.spawn(func() { p.sendStart(r, checkpoint) })
	}
}

// maxStartAttempts is how often a start request is sent at most. Start requests
// are idempotent: the worker starts the run once.
const maxStartAttempts = 4

// sendStart sends the start request until it gets a response or the attempts are
// used up, which takes at most maxStartTime. A request without a response may still
// be executed, so the run is then stopped.
func (p *pool) sendStart(r *run, checkpoint string) {
	defer p.d.resumeCutPasses()
	defer p.d.orderSlots.unplan()
	completed := p.d.contain("a start request", r.name, func() {
		for attempt := 1; p.attemptStart(r, checkpoint, attempt); attempt++ {
		}
	})
	if !completed {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stopRun(r, "its start could not be handled")
	}
}

// attemptStart sends the start request once there is a slot for it. It reports whether
// another attempt is needed.
func (p *pool) attemptStart(r *run, checkpoint string, attempt int) (again bool) {
	if !p.d.orderSlots.acquire(p.d.ctx) {
		return false
	}
	defer p.d.orderSlots.release()
	req, record, ok := p.startRequest(r, checkpoint, attempt)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(p.d.ctx, p.responseTimer.timeout())
	defer cancel()
	sentAt := time.Now()
	p.d.counters.startAttempts.Inc(1)
	resp, err := p.d.WorkerClient.Start(ctx, record, req)
	return !p.handleStartResult(r, resp, err, sentAt, attempt)
}

// startRequest returns the start request of a run with its worker's record, and records the lease that it
// grants. It returns false if the run must not be started any more.
func (p *pool) startRequest(r *run, checkpoint string, attempt int) (StartRequest, *apiv1.PoolWorker, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.phase != phaseStarting || r.worker.runs[r.key()] != r || p.d.ctx.Err() != nil {
		return StartRequest{}, nil, false
	}
	if r.transferred {
		p.discardUnsentRun(r, "its worker's incarnation has ended")
		return StartRequest{}, nil, false
	}
	if r.worker.free.overcommitted() {
		p.discardUnsentRun(r, "its worker's capacity has shrunk")
		return StartRequest{}, nil, false
	}
	now := time.Now()
	remaining := p.d.leaderLease.remaining()
	leaseDeadline := r.worker.leaseDeadline(now, remaining)
	if leaseDeadline == 0 {
		p.discardUnsentRun(r, "leader lease expired or worker's clock unknown")
		return StartRequest{}, nil, false
	}
	// A run that an unanswered attempt may have started is there whatever its ticket is now.
	if !r.renewTicket(now) && !r.unanswered {
		p.discardUnsentRun(r, "its ticket has expired")
		return StartRequest{}, nil, false
	}
	if attempt == 1 {
		r.startSent = now
		p.countFirstStart(r.task.unit.job, now)
	}
	r.worker.recordLeaseGranted(now, remaining)
	r.sent, r.attemptSent, r.clockBefore = true, now, r.worker.clockMs
	return StartRequest{
		Task: r.name, Run: r.number, Payload: r.task.unit.job.spec.GetPayload(),
		Deadline: leaseDeadline, Token: p.d.term, Checkpoint: checkpoint, Ticket: r.ticket,
	}, r.worker.record, true
}

// countFirstStart counts the first start request that is sent of a job, with its wait since the
// job was accepted.
func (p *pool) countFirstStart(j *job, now time.Time) {
	if j.startSent {
		return
	}
	j.startSent = true
	starts, waits := p.d.counters.otherFirstStarts, p.d.counters.otherFirstWaitMs
	if j.queue.GetPriority() == 0 {
		starts, waits = p.d.counters.urgentFirstStarts, p.d.counters.urgentFirstWaitMs
	}
	starts.Inc(1)
	waits.Inc(now.Sub(j.accepted).Milliseconds())
}

// discardUnsentRun ends a run whose start request was not sent in this attempt.
// Requests of earlier attempts may still be executed, so the run is discarded
// only if there were none, and stopped otherwise.
func (p *pool) discardUnsentRun(r *run, reason string) {
	if r.confirmedAt.IsZero() && !r.unanswered {
		p.d.Logger.Info("start not sent", logRun(r), "reason", reason)
		r.task.notBefore = time.Now().Add(idlePassInterval)
		p.discardRun(r)
		return
	}
	p.stopRun(r, reason)
}

// handleStartResult handles the outcome of one attempt, which was sent at sentAt.
// It reports whether no further attempt is needed.
func (p *pool) handleStartResult(r *run, resp Response, err error, sentAt time.Time, attempt int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	w := r.worker
	defer w.wakePoll()
	accepted := err == nil && resp.Refusal == Accepted
	if isUnanswered(err) && (attempt > 1 || r.phase != phaseActive) { // else the worker has listed its effect
		p.recordUnanswered(r, now)
	}
	if w.runs[r.key()] != r || p.d.ctx.Err() != nil {
		if accepted && w.silent {
			p.delayRestart(r, now)
		}
		return true
	}
	if accepted {
		if !r.transferred { // otherwise it may be of the incarnation before
			r.located = r.located || w.hasAnswered(resp.ClockMs, p.d.Clock.Read())
			w.observeClock(resp.ClockMs, now)
			w.observeResponse(now)
		}
		if attempt == 1 {
			p.responseTimer.observe(now.Sub(sentAt))
		}
		if r.phase == phaseStarting {
			p.confirmStart(r, now)
			p.d.counters.startLatency.Update(now.Sub(r.decidedAt).Milliseconds())
			p.logRunStarted(r, attempt, now.Sub(sentAt), resp.ClockMs)
		}
		return true
	}
	if r.phase != phaseStarting {
		return true
	}
	again := !r.transferred && attempt < maxStartAttempts && now.Sub(r.startSent) < maxStartTime
	switch {
	case errors.Is(err, ErrOtherIncarnation) && !r.transferred:
		p.removeWorker(w, lossEnded, "another incarnation answered a start request")
		return true
	case errors.Is(err, ErrNoListener) && !r.unanswered:
		p.discardUnstartedRun(r, "nothing listens", idlePassInterval)
		if !r.transferred {
			p.handleRefusedConnection(w, now)
		}
		return true
	case errors.Is(err, ErrNotSent):
		if !r.transferred { // nothing else is placed there before the worker's next report
			w.failedCalls = max(w.failedCalls, 1)
		}
		if again {
			return false
		}
		if !r.unanswered { // no attempt was sent
			p.discardUnstartedRun(r, "no connection in time", idlePassInterval)
			return true
		}
	case errors.Is(err, ErrConnectionLost):
		// The worker may have ended. Another attempt could start the run in its next incarnation.
	case err != nil && again:
		return false
	}
	if err != nil {
		p.d.counters.startsUnanswered.Inc(1)
		p.d.Logger.Warn("start unanswered", logRun(r), "tries", attempt, "error", err)
		p.stopRun(r, "start unanswered")
		return true
	}
	p.handleStartRefusal(r, resp, attempt, now)
	return true
}

// isUnanswered reports whether a request that failed may have been executed or may still be.
func isUnanswered(err error) bool {
	return err != nil && !errors.Is(err, ErrOtherIncarnation) && !errors.Is(err, ErrNoListener) && !errors.Is(err, ErrNotSent)
}

// confirmStart records that the worker runs the run, as known at the time. Only now has its
// job begun: a start that was decided on may be refused or never arrive.
func (p *pool) confirmStart(r *run, at time.Time) {
	r.phase, r.confirmedAt = phaseActive, at
	p.d.counters.startsConfirmed.Inc(1)
	p.markStarted(r.task.unit.job)
}

// markStarted records that a task of the job has been started.
func (p *pool) markStarted(j *job) {
	if !j.started {
		j.started = true
		p.d.Table.MarkStarted(j.id)
	}
}

// handleStartRefusal discards a run whose start the worker refused. After a
// refusal as superseded, or if an earlier attempt got no response, the run may
// have started and ended there, so it is stopped instead.
func (p *pool) handleStartRefusal(r *run, resp Response, attempt int, now time.Time) {
	p.d.counters.startsRefused.Inc(1)
	if !r.transferred {
		r.worker.observeClock(resp.ClockMs, now)
	}
	if resp.Refusal == RefusedSuperseded || attempt > 1 {
		p.d.Logger.Warn("start refused", logRun(r), "reason", string(resp.Refusal), "tries", attempt)
		p.stopRun(r, "start refused after an unanswered try")
		return
	}
	backoff := time.Duration(0)
	switch resp.Refusal {
	case RefusedUnhealthy:
		r.worker.health.recordRefusal(now)
	case RefusedInvalidTicket:
		if t := r.task.unit.advice.tickets[r.worker]; t != nil {
			t.expires = time.Time{}
		}
	case RefusedNoCapacity:
		r.worker.health.recordRefusal(now)
		backoff = idlePassInterval
	default:
		backoff = idlePassInterval
	}
	p.discardUnstartedRun(r, string(resp.Refusal), backoff)
}

// discardUnstartedRun discards a run that certainly never started and never will.
// Its task is not started again before the backoff has passed. The other members of
// a gang are stopped.
func (p *pool) discardUnstartedRun(r *run, reason string, backoff time.Duration) {
	p.d.Logger.Warn("start refused", logRun(r), "reason", reason)
	r.task.notBefore = time.Now().Add(backoff)
	r.sent = false // a crash of its worker's former incarnation may not be recorded yet
	u := r.task.unit
	p.discardRun(r)
	if u.spec.GetGang() {
		p.stopUnit(u, "the start of a gang member was refused")
	}
	p.requestPass()
}
