package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	holdRetry = 100 * time.Millisecond // backoff after a failed Hold call
	// minBusyHoldWait is the shortest long poll to a worker with runs; shorter ones would
	// cost more than an answer that comes earlier is worth.
	minBusyHoldWait = 700 * time.Millisecond
	// holdSlack is how much longer than the expected end of a run a poll waits, so that
	// most ends arrive within it.
	holdSlack = 300 * time.Millisecond
	// noListenerCallLimit is the number of consecutive calls that find no listener
	// at the worker's address after which its incarnation is considered ended.
	noListenerCallLimit = 2
)

// holdLoop calls Hold, which renews the worker's leases and returns its active
// and ended runs, until the worker is removed or ctx ends.
func (p *pool) holdLoop(ctx context.Context, w *worker) {
	for proceed := true; proceed; {
		completed := p.d.contain("a report of a worker", w.record.GetId(), func() { proceed = p.holdOnce(ctx, w) })
		if !completed && sleep(ctx, panicBackoff) != nil {
			return
		}
	}
}

// holdOnce makes one Hold call and handles its response. It returns false once the worker
// is removed or ctx has ended.
func (p *pool) holdOnce(ctx context.Context, w *worker) (proceed bool) {
	resp, sentAt, err := p.hold(ctx, w)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		return p.handleHoldError(w, err) && sleep(ctx, holdRetry) == nil
	}
	ends, ok := p.handleHoldResponse(w, sentAt, resp)
	if !ok {
		return false
	}
	if resp.Fenced || (len(ends) > 0 && !p.commitEnds(ctx, w, ends)) {
		return sleep(ctx, holdRetry) == nil
	}
	return true
}

// hold makes one Hold call once there is a slot for it.
func (p *pool) hold(ctx context.Context, w *worker) (resp HoldResponse, sentAt time.Time, err error) {
	if !p.d.holdSlots.acquire(ctx) {
		return HoldResponse{}, time.Time{}, ctx.Err()
	}
	defer p.d.holdSlots.release()
	sentAt = time.Now()
	req := p.nextHoldRequest(w, sentAt)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+p.holdTimeoutMargin())
	defer cancel()
	resp, err = p.d.WorkerClient.Hold(ctx, w.record, req)
	return resp, sentAt, err
}

// holdTimeoutMargin returns how much longer than its long poll a Hold call may take.
func (p *pool) holdTimeoutMargin() time.Duration {
	return min(max(2*p.responseTimer.timeout(), minHoldTimeoutMargin), maxHoldTimeoutMargin)
}

// nextHoldRequest returns the next request for the worker and records the lease
// that it grants.
func (p *pool) nextHoldRequest(w *worker, now time.Time) HoldRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := HoldRequest{Token: p.d.term, Cursor: w.ackCursor}
	// The lease of a worker that did not respond is not renewed: a request without
	// a response may be executed late, and the end of the lease would never be
	// certain.
	if remaining := p.d.leaderLease.remaining(); w.failedCalls == 0 {
		if req.Deadline = w.leaseDeadline(now, remaining); req.Deadline > 0 {
			w.recordLeaseGranted(now, remaining)
		}
	}
	if w.synced && !p.hasStoppingRun(w) && w.failedCalls == 0 {
		req.WaitMs = p.holdWait(w, now).Milliseconds()
	}
	return req
}

// holdWait returns the length of a long poll to the worker. Three fit into a lease, also
// if there are more workers than slots and each has to wait for its turn.
//
// Load pattern: workers that leave some requests unanswered. The ends of runs are learned
// only once such a poll has timed out, so it ends soon after a run is expected to end.
func (p *pool) holdWait(w *worker, now time.Time) time.Duration {
	wait := min(maxHoldWait, p.d.Timing.leaseDuration()/3)
	if next, ok := w.nextExpectedEnd(now); ok {
		wait = min(wait, max(next.Sub(now)+holdSlack, minBusyHoldWait))
	}
	if workers := p.d.workerCount.Load(); workers > p.d.holdSlots.limit {
		wait = wait * time.Duration(p.d.holdSlots.limit) / time.Duration(workers)
	}
	return wait
}

// hasStoppingRun reports whether a run is being stopped, so that the next report
// is needed without a long poll.
func (p *pool) hasStoppingRun(w *worker) bool {
	for _, r := range w.runs {
		if r.phase == phaseStopping {
			return true
		}
	}
	return false
}

// handleHoldError handles a failed Hold call and reports whether to continue. It
// removes the worker if its incarnation has ended or its leases have expired.
func (p *pool) handleHoldError(w *worker, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if w.synced && w.failedCalls == 0 {
		p.d.Logger.Warn("worker does not answer", "worker", w.record.GetId(), "error", err, "runs", len(w.runs))
	}
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		p.removeWorker(w, "another incarnation answers at its address")
		return false
	case errors.Is(err, ErrNoListener):
		if w.failedCalls++; w.failedCalls >= noListenerCallLimit {
			p.removeWorker(w, "nothing listens at its address")
			return false
		}
	default:
		w.failedCalls = max(w.failedCalls, 1)
	}
	if now.After(w.leaseEnd.Add(leaseExpiryMargin)) && (w.synced || w.leaving || len(w.runs) > 0 || p.isUnreconciled(w)) {
		// Nothing can be running there, and no request of this term can start
		// anything. The worker is added again when it reports.
		p.removeWorker(w, "its leases expired")
		return false
	}
	return true
}

// isUnreconciled reports whether the previous leader may have started runs on the
// worker that are not known yet.
func (p *pool) isUnreconciled(w *worker) bool {
	_, ok := p.unreconciled[w.record.GetId()]
	return ok
}

// handleHoldResponse applies the response to a Hold request sent at sentAt. It
// returns the ends that have to be committed, and false if the hold loop must end.
func (p *pool) handleHoldResponse(w *worker, sentAt time.Time, resp HoldResponse) ([]EndedRun, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.workers[w.record.GetId()] != w {
		return nil, false
	}
	if resp.Fenced {
		p.d.Logger.Warn("worker has seen the fencing token of a later leader", "worker", w.record.GetId())
		w.synced = false
		return nil, true
	}
	if resp.BornUnixMs > w.record.GetBornUnixMs() && w.record.GetBornUnixMs() > 0 {
		p.removeWorker(w, "a new incarnation of the worker answered")
		return nil, false
	}
	w.observeClock(resp.ClockMs, now)
	w.reportedAt, w.failedCalls = now, 0
	var ends []EndedRun
	listed := make(map[runKey]bool, len(resp.Active)+len(resp.Ended))
	for _, end := range resp.Ended {
		listed[runKey{end.Task, end.Run}] = true
		if end.Sequence > w.ackCursor {
			ends = append(ends, end)
			p.freeEndedRun(w, end)
		}
	}
	for _, active := range resp.Active {
		key := runKey{active.Task, active.Run}
		listed[key] = true
		p.observeActiveRun(w, key, active, sentAt)
	}
	for key, r := range w.runs {
		if !listed[key] && r.mustBeListedIn(sentAt) {
			p.d.Logger.Info("run missing from the worker's report", logRun(r), "reason", r.reason)
			p.discardRun(r)
		}
	}
	if !w.synced {
		w.synced = true
		p.d.Logger.Info("worker synced", "worker", w.record.GetId(), "active", len(resp.Active), "ended", len(resp.Ended))
		p.reconcileUnlessEnds(w, ends)
	}
	p.requestPass()
	return ends, true
}

// reconcileUnlessEnds marks the worker as reconciled if its report lists no new
// ends. Otherwise commitEnds does so once they are committed.
func (p *pool) reconcileUnlessEnds(w *worker, ends []EndedRun) {
	if len(ends) == 0 {
		p.markReconciled(w.record.GetId())
	}
}

// mustBeListedIn reports whether the response to a Hold request sent at sentAt
// would list the run if it were active: the worker had confirmed its start or stop
// before.
func (r *run) mustBeListedIn(sentAt time.Time) bool {
	switch r.phase {
	case phaseActive:
		return r.confirmedAt.Before(sentAt)
	case phaseStopping:
		return r.stopConfirmed && r.confirmedAt.Before(sentAt)
	default:
		return false
	}
}

// freeEndedRun frees the resources of a run whose end is reported.
func (p *pool) freeEndedRun(w *worker, end EndedRun) {
	if r := w.runs[runKey{end.Task, end.Run}]; r != nil {
		w.removeRun(r)
	}
}

// observeActiveRun records that the worker reports a run as active, in response
// to a Hold request sent at sentAt. It adopts a run that is not known.
func (p *pool) observeActiveRun(w *worker, key runKey, active ActiveRun, sentAt time.Time) {
	r := w.runs[key]
	if r == nil {
		r = p.adoptRun(w, key)
	}
	if r.phase == phaseStarting {
		r.phase, r.confirmedAt = phaseActive, sentAt
		p.d.counters.startsConfirmed.Inc(1)
		p.d.Logger.Info("run started", logRun(r), "seen", "in the worker's report")
	}
	if r.task != nil && active.Checkpoint != "" {
		r.task.saveCheckpoint(active.Checkpoint)
	}
}

// saveCheckpoint stores the checkpoint from which the next run resumes. The
// members of a gang share it. It is ignored if the step has no checkpoints.
func (t *task) saveCheckpoint(checkpoint string) {
	if !t.unit.spec.GetCheckpointing() {
		return
	}
	if !t.unit.spec.GetGang() {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.unit.tasks {
		member.checkpoint = checkpoint
	}
}

// adoptRun adds a run that this leader has not started. The run continues if its
// task is known, not done and has no other run; otherwise it is stopped.
func (p *pool) adoptRun(w *worker, key runKey) *run {
	r := &run{name: key.name, number: key.number, worker: w, phase: phaseActive, confirmedAt: time.Now()}
	w.runs[key] = r
	t := p.findTask(key.name)
	if t != nil {
		t.unit.observeRunNumber(key.number)
		r.size = t.unit.size
		w.free.subtract(r.size)
		if t.run == nil && !t.done {
			r.task, t.run = t, r
			t.mayBeRunning = false
			t.unit.job.started = true
			p.d.Table.MarkStarted(t.unit.job.id)
			p.d.Logger.Info("run adopted", logRun(r))
			return r
		}
	} else {
		r.orphaned = true
		w.orphaned++
	}
	p.stopRun(r, "its task is unknown, done or has another run")
	return r
}

// findTask returns the task of that name, or nil if it is malformed or unknown.
func (p *pool) findTask(text string) *task {
	name, ok := parseTaskName(text)
	if !ok {
		return nil
	}
	j := p.jobs[name.job]
	if j == nil {
		return nil
	}
	position := name.occurrence*len(j.spec.GetSteps()) + name.step
	if name.step >= len(j.spec.GetSteps()) || position >= len(j.units) || name.index >= len(j.units[position].tasks) {
		return nil
	}
	return j.units[position].tasks[name.index]
}

// commitEnds commits the ends, so that the worker may forget them, and then
// applies them. It reports whether they were committed.
func (p *pool) commitEnds(ctx context.Context, w *worker, ends []EndedRun) bool {
	command := &apiv1.JobsCommand{}
	lastSequence := int64(0)
	for _, end := range ends {
		lastSequence = max(lastSequence, end.Sequence)
		name, ok := parseTaskName(end.Task)
		if !ok {
			p.d.Logger.Error("worker reported a run with a malformed task name", "worker", w.record.GetId(), "task", end.Task)
			continue
		}
		command.Ends = append(command.Ends, &apiv1.RunEnd{
			Job: name.job, Occurrence: int32(name.occurrence), Step: int32(name.step), Index: int32(name.index),
			Run: end.Run, Outcome: end.Outcome, Checkpoint: end.Checkpoint,
		})
	}
	if err := p.d.ends.commit(ctx, command.GetEnds()); err != nil {
		if ctx.Err() == nil {
			p.d.Logger.Warn("ends of runs not committed", "worker", w.record.GetId(), "ends", len(ends), "error", err)
		}
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.ackCursor = max(w.ackCursor, lastSequence)
	for _, end := range ends {
		p.applyEnd(w, end)
	}
	p.markReconciled(w.record.GetId())
	p.requestPass()
	return true
}
