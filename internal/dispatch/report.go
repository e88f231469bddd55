package dispatch

import (
	"cmp"
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

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
	if w.isOtherIncarnation(resp) {
		p.replaceWorker(w, nextRecord(w.record, resp.BornUnixMs), false, "a new incarnation of the worker answered")
		return nil, false
	}
	w.observeClock(resp.ClockMs, now)
	w.listedBorn = resp.BornUnixMs
	w.reportedAt, w.answeredPoll = now, w.lastPoll
	if !resp.Unacknowledged {
		w.ackedCursor = max(w.ackedCursor, w.sentCursor)
	}
	w.observeResponse(now)
	var ends []EndedRun
	listed := make(map[runKey]bool, len(resp.Active)+len(resp.Ended))
	for _, end := range resp.Ended {
		listed[runKey{end.Task, end.Run}] = true
		if end.Sequence > w.ackCursor {
			ends = append(ends, end)
			p.freeEndedRun(w, end)
		}
	}
	w.uncommitted = ends
	for _, active := range resp.Active {
		key := runKey{active.Task, active.Run}
		listed[key] = true
		p.observeActiveRun(w, key, active, sentAt)
	}
	if w.orphaned > 0 {
		p.d.ledger.addOrphans(w, w.free.largest(resources{}))
	}
	if w.endsPending = resp.Partial; !resp.Partial {
		p.settlePredecessor(w, listed)
		p.discardMissingRuns(w, listed, sentAt)
	}
	if !w.synced {
		w.synced = true
		p.d.Logger.Info("worker synced", "worker", w.id, "born", w.record.GetBornUnixMs(), "active", len(resp.Active), "ended", len(resp.Ended),
			"partial", resp.Partial)
	}
	if len(ends) == 0 { // otherwise commitEnds does so
		p.reconcile(w)
	}
	p.requestPass()
	return ends, true
}

// discardMissingRuns discards the runs that a complete response to a Hold request sent at
// sentAt would list, and does not. One that may still be started is stopped first, so that the
// worker rejects it.
func (p *pool) discardMissingRuns(w *worker, listed map[runKey]bool, sentAt time.Time) {
	for key, r := range w.runs {
		switch {
		case listed[key] || !r.mustBeListedIn(sentAt):
		case r.phase == phaseActive && r.unanswered:
			p.stopRun(r, "missing from the worker's report, and a start request of it is unanswered")
		default:
			p.d.Logger.Info("run missing from the worker's report", logRun(r), "reason", r.reason)
			p.loseRun(r)
		}
	}
}

// reconcile marks the worker as reconciled if it has listed all of its runs and the ends
// among them are committed.
func (p *pool) reconcile(w *worker) {
	if w.synced && !w.endsPending {
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

// freeEndedRun frees the resources of a run whose end is reported, perhaps before the response to its start is handled.
func (p *pool) freeEndedRun(w *worker, end EndedRun) {
	r := w.runs[runKey{end.Task, end.Run}]
	if r == nil {
		return
	}
	if r.phase == phaseStarting {
		p.confirmStart(r, time.Now())
		p.logRunListed(runStarted, r)
	}
	w.removeRun(r)
}

// observeActiveRun records that the worker reports a run as active, in response
// to a Hold request sent at sentAt. It adopts a run that is not known.
func (p *pool) observeActiveRun(w *worker, key runKey, active ActiveRun, sentAt time.Time) {
	r := w.runs[key]
	if r == nil {
		r = p.adoptRun(w, key)
	}
	if r.transferred && !r.located {
		p.d.Logger.Info("run listed by the next incarnation", logRun(r))
	}
	r.located, r.absent = true, false
	if r.phase == phaseStarting {
		p.confirmStart(r, sentAt)
		p.logRunListed(runStarted, r)
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
	r := &run{name: key.name, number: key.number, worker: w, phase: phaseActive, confirmedAt: time.Now(), sent: true}
	t, departed := p.findTask(key.name), p.findDepartedTask(key.name)
	if t != nil {
		t.unit.observeRunNumber(key.number)
		r.risk = p.riskOf(t.unit, r.confirmedAt)
	}
	if known := cmp.Or(t, departed); known != nil {
		r.size, r.countedSize, r.workspace = known.unit.size, known.unit.countedSize, known.unit.job.workspace
	}
	w.addRun(r)
	// If the worker has just begun, its deadline may be one on the clock of the former incarnation.
	w.recordLeaseGranted(r.confirmedAt, p.d.Timing.leaseAfterBirth()-time.Duration(w.clockMs)*time.Millisecond)
	switch {
	case t != nil && t.run == nil && !t.done:
		r.task = t
		t.setRun(r)
		p.setMayBeRunning(t, false)
		t.unit.job.placed, t.unit.job.startSent = true, true
		p.markStarted(t.unit.job)
		p.logRunListed(runAdopted, r)
		return r
	case t != nil:
	case departed != nil:
		p.setMayBeRunning(departed, false)
	default:
		r.orphaned = true
		w.orphaned++
	}
	p.stopRun(r, "its task is unknown, done or has another run")
	return r
}

// findTask returns the task of that name, or nil if it is malformed or unknown.
func (p *pool) findTask(text string) *task { return findTaskIn(p.jobs, text) }

// findDepartedTask returns the task of that name if its job was removed while the task might be
// running, or nil.
func (p *pool) findDepartedTask(text string) *task {
	if len(p.departed) == 0 {
		return nil
	}
	return findTaskIn(p.departed, text)
}

func findTaskIn(jobs map[string]*job, text string) *task {
	name, ok := parseTaskName(text)
	if !ok {
		return nil
	}
	j := jobs[name.job]
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
// applies them. It reports whether they were committed. If not, the worker lists them again.
func (p *pool) commitEnds(ctx context.Context, w *worker, ends []EndedRun) bool {
	command := p.encodeEnds(w, ends)
	begin := time.Now()
	err := p.d.ends.commit(ctx, command)
	p.d.counters.endCommits.Inc(1)
	p.d.counters.endCommitMicros.Inc(time.Since(begin).Microseconds())
	if err != nil {
		if ctx.Err() == nil {
			p.d.Logger.Warn("ends of runs not committed", "worker", w.id, "ends", len(ends), "error", err)
		}
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyCommittedEnds(w, ends)
	return true
}

// commitEndsOfLost commits the ends that a lost worker had listed. Nothing else would free their
// tasks, as the runs are not among the worker's any more and no one lists the ends again. It repeats
// that until it succeeds or the term ends.
func (p *pool) commitEndsOfLost(w *worker, ends []EndedRun) {
	command := p.encodeEnds(w, ends)
	for p.d.ends.commit(p.d.ctx, command) != nil {
		if sleep(p.d.ctx, holdRetry) != nil {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(w.uncommitted) > 0 { // the worker's own loop had not committed them
		p.applyCommittedEnds(w, ends)
	}
}

// encodeEnds returns the ends as they are committed, without those of malformed task names.
func (p *pool) encodeEnds(w *worker, ends []EndedRun) []*apiv1.RunEnd {
	var encoded []*apiv1.RunEnd
	for _, end := range ends {
		name, ok := parseTaskName(end.Task)
		if !ok {
			p.d.Logger.Error("worker reported a run with a malformed task name", "worker", w.id, "task", end.Task)
			continue
		}
		encoded = append(encoded, &apiv1.RunEnd{
			Job: name.job, Occurrence: int32(name.occurrence), Step: int32(name.step), Index: int32(name.index),
			Run: end.Run, Outcome: end.Outcome, Checkpoint: end.Checkpoint,
		})
	}
	return encoded
}

// applyCommittedEnds applies committed ends. The caller holds the lock.
func (p *pool) applyCommittedEnds(w *worker, ends []EndedRun) {
	w.uncommitted = nil
	for _, end := range ends {
		w.ackCursor = max(w.ackCursor, end.Sequence)
		p.applyEnd(w, end)
	}
	if !w.lost {
		p.reconcile(w)
	}
	p.requestPass()
}
