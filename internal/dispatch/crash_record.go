package dispatch

import (
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// recordCrash records a worker's crash at the time under its runs, which are discarded already.
// Their tasks do not start again before the record is committed: a later leader must not lose
// count of the workers that a task has crashed. The caller holds the lock.
func (p *pool) recordCrash(w *worker, c crash, at time.Time) {
	p.d.counters.workersCrashed.Inc(1)
	isBack := func(other *worker) bool { return other.record.GetAddress() == w.record.GetAddress() }
	if !slices.ContainsFunc(p.workerList, isBack) {
		p.crashedWorkers.add(w.record, at)
	}
	p.d.Logger.Warn("worker crashed", "worker", w.id, "born", w.record.GetBornUnixMs(), "runs", len(c.suspects), "attributed", c.attributed,
		"youngest_ms", c.youngest.Milliseconds())
	var records []crashRecord
	for _, r := range c.suspects {
		if r.task == nil || r.task.done {
			continue
		}
		r.task.crashUnrecorded = true
		p.recordCrashAge(r, c)
		records = append(records, newCrashRecord(r, c, at))
	}
	if len(records) > 0 {
		p.d.spawn(func() { p.commitCrash(records) })
	}
}

// recordCrashAge makes the containment of the run's queue, if any, regard runs of the age of the
// youngest suspect as not proven harmless.
func (p *pool) recordCrashAge(r *run, c crash) {
	containment := p.containments[r.task.unit.job.queue.GetName()]
	if containment != nil {
		containment.crashAge = max(containment.crashAge, c.youngest)
	}
}

// crashRecord is the record of one run whose worker has crashed.
type crashRecord struct {
	end      *apiv1.RunEnd
	youngest bool // no run was started on the worker later; not replicated
}

func newCrashRecord(r *run, c crash, now time.Time) crashRecord {
	name := r.task.name()
	end := &apiv1.RunEnd{
		Job: name.job, Occurrence: int32(name.occurrence), Step: int32(name.step), Index: int32(name.index),
		Run: r.number, Outcome: apiv1.RunOutcome_RUN_OUTCOME_WORKER_CRASHED, Attributed: c.attributed, Alone: c.alone,
	}
	return crashRecord{end: end, youngest: r.age(now) < c.youngest+startTogether}
}

// commitCrash commits the records and applies them. It repeats that until it succeeds or the
// term ends.
func (p *pool) commitCrash(records []crashRecord) {
	ends := make([]*apiv1.RunEnd, len(records))
	for i, record := range records {
		ends[i] = record.end
	}
	for {
		err := p.d.ends.commit(p.d.ctx, ends)
		if err == nil {
			break
		}
		if p.d.ctx.Err() == nil {
			p.d.Logger.Warn("crash not committed", "runs", len(ends), "error", err)
		}
		if sleep(p.d.ctx, forgetRetryInterval) != nil {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	implicated := make(map[string]bool)
	for _, record := range records {
		if queue := p.applyCrash(record, now); queue != "" {
			implicated[queue] = true
		}
	}
	for queue := range implicated {
		p.containQueue(queue, now)
	}
	p.requestPass()
}

// applyCrash applies a committed record to its task, and removes the job if the table has failed
// it. It returns the job's queue if that is to be contained, or contained for longer: after the
// first crash attributed to the task, and while it is contained after the first one of all. The
// caller holds the lock.
func (p *pool) applyCrash(record crashRecord, now time.Time) (implicated string) {
	end := record.end
	name := taskName{job: end.GetJob(), occurrence: int(end.GetOccurrence()), step: int(end.GetStep()), index: int(end.GetIndex())}
	t := p.findTask(name.String())
	if t == nil || t.done {
		return ""
	}
	t.crashUnrecorded = false
	u := t.unit
	u.unpark()
	queue := u.job.queue.GetName()
	if end.GetAttributed() && !u.likelyCulprit() {
		p.recordTested(queue, true, now)
	}
	implicatesQueue := t.crashes.Record(end.GetRun(), end.GetAttributed(), end.GetAlone())
	u.pointedAt = u.pointedAt || (record.youngest && t.crashes.Count() >= pointingCrashes)
	u.mostCrashes = max(u.mostCrashes, t.crashes.Count())
	p.d.Logger.Info("task suspected", "task", name.String(), "number", end.GetRun(), "crashes", t.crashes.Count(),
		"attributed", end.GetAttributed(), "youngest", record.youngest)
	if implicatesQueue || (p.containments[queue].active(now) && t.crashes.Count() == suspectCrashes) {
		implicated = queue
	}
	if t.crashes.GivenUp() {
		p.d.counters.jobsGivenUp.Inc(1)
		p.d.Logger.Warn("job given up", "job", u.job.id, "queue", queue, "task", name.String(),
			"crashes", t.crashes.Count(), "attributed", len(t.crashes.AttributedRuns))
		p.removeJobLocked(u.job.id, "workers crash under its task")
	}
	return implicated
}

// recordTested records that a job of the queue is known to be harmless, or a likely culprit.
func (p *pool) recordTested(queue string, culprit bool, now time.Time) {
	if c := p.containments[queue]; c.active(now) {
		c.recordTested(culprit, now)
	}
}

// containQueue contains the queue, or prolongs that, after a crash at the time.
func (p *pool) containQueue(queue string, at time.Time) {
	c := p.containments[queue]
	if c == nil {
		c = &containment{}
		p.containments[queue] = c
	}
	if !c.active(at) {
		p.d.Logger.Warn("queue contained", "queue", queue, "service", p.service)
		p.unparkQueue(queue)
	}
	c.recordCrash(at)
}

// restoreContainments contains the queues that the previous leader has contained.
func (p *pool) restoreContainments(now time.Time, nowUnixMs int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for queue, unixMs := range p.d.Table.CrashingQueues() {
		age := time.Duration(max(0, nowUnixMs-unixMs)) * time.Millisecond
		if age < containmentPeriod {
			p.containQueue(queue, now.Add(-age))
		}
	}
}
