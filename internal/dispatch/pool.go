package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// pool holds the workers of a service and the unfinished jobs that run on them.
//
// Invariants while the lock is not held:
//   - a worker's free resources are its capacity minus the size of all its runs;
//   - a task that is not done has at most one run, and no other run of it is
//     active or can still start;
//   - a run is removed from its worker only when the worker has reported its
//     end, when the worker certainly does not have it and never will, or when
//     its lease has expired. If the worker's incarnation has ended, its runs move
//     to the next one under the same id, until that has listed its own.
type pool struct {
	d       *Dispatcher
	service string
	wakeup  chan struct{} // requests a scheduling pass

	mu            sync.Mutex          // guards the fields below and all workers, jobs, units, tasks and runs
	workers       map[string]*worker  // by id
	workerList    []*worker           // the same workers
	jobs          map[string]*job     // unfinished jobs, by id
	allowedShares map[string]float64  // by queue; see allowedShare
	responseTimer retransmissionTimer // of start requests
	// unreconciled holds the ids of workers on which the previous leader may have
	// started runs that are not known yet, with the time when their leases expire.
	unreconciled map[string]time.Time
	trialsInUse  bool // the last pass kept trial workers, or none has taken place
	// containments holds the queues whose tasks have crashed workers, by name.
	containments    map[string]*containment
	crashedWorkers  crashedWorkers
	silentLosses    silentLosses
	probableCrashes probableCrashes
	// harmlessWaitedAt is when a unit that needs no trial last waited for long.
	harmlessWaitedAt time.Time
}

func newPool(d *Dispatcher, service string) *pool {
	return &pool{
		d: d, service: service, wakeup: make(chan struct{}, 1),
		workers: make(map[string]*worker), jobs: make(map[string]*job),
		allowedShares: make(map[string]float64), unreconciled: make(map[string]time.Time),
		trialsInUse:  true,
		containments: make(map[string]*containment), crashedWorkers: make(crashedWorkers), silentLosses: make(silentLosses),
	}
}

// run executes scheduling passes until the term ends.
func (p *pool) run() {
	idle := time.NewTimer(idlePassInterval)
	defer idle.Stop()
	var last passTimes
	for {
		select {
		case <-p.d.ctx.Done():
			return
		case <-p.wakeup:
			if sleep(p.d.ctx, last.delay(time.Now())) != nil {
				return
			}
		case <-idle.C:
		}
		last.begin = time.Now()
		p.d.contain("a scheduling pass", p.service, p.runPass)
		last.end = time.Now()
		p.d.counters.passes.Inc(1)
		p.d.counters.passMicros.Inc(last.end.Sub(last.begin).Microseconds())
		idle.Reset(idlePassInterval)
	}
}

// requestPass triggers a scheduling pass soon. It never blocks.
func (p *pool) requestPass() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// addInheritedWorker adds a worker on which the previous leader may have started
// runs. Leases granted by that leader have expired at oldLeaseEnd.
func (p *pool) addInheritedWorker(record *apiv1.PoolWorker, oldLeaseEnd time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[record.GetId()]
	switch {
	case w != nil && w.synced:
		return // it reported a change during the takeover and has answered this leader
	case w == nil:
		w = p.addWorker(record)
	}
	p.unreconciled[record.GetId()] = oldLeaseEnd
	w.leaseEnd = oldLeaseEnd
	age := time.Duration(p.d.nowUnixMs()-record.GetBornUnixMs()) * time.Millisecond
	w.recordLeaseGranted(time.Now(), min(p.d.Timing.leaseAfterBirth()-age, p.d.Timing.leaseAfterBirth()))
}

// addJob adds a job, unless the pool has it. If inherited, tasks that the
// previous leader may have started wait until its workers are reconciled.
func (p *pool) addJob(j *job, inherited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jobs[j.id] != nil {
		return
	}
	p.jobs[j.id] = j
	nowUnixMs := p.d.nowUnixMs() + p.d.Timing.EarlyStart.Milliseconds()
	for _, u := range j.units {
		for _, t := range u.tasks {
			t.mayBeRunning = inherited && len(p.unreconciled) > 0 && u.ready(nowUnixMs)
		}
	}
	p.requestPass()
}

// addAcceptedJob adds a job that was accepted in this term.
func (p *pool) addAcceptedJob(j *job) { p.addJob(j, false) }

// markReconciled records that all runs that the previous leader started on the
// worker are known. After the last such worker, tasks without a known run are
// certain not to be running. The caller holds the lock.
func (p *pool) markReconciled(id string) {
	if _, ok := p.unreconciled[id]; !ok {
		return
	}
	delete(p.unreconciled, id)
	if len(p.unreconciled) > 0 {
		return
	}
	p.d.Logger.Info("all workers of the predecessor are settled", "service", p.service)
	for _, j := range p.jobs {
		for _, u := range j.units {
			for _, t := range u.tasks {
				t.mayBeRunning = false
			}
			if u.spec.GetGang() && u.remaining > 0 && u.partlyRunning() {
				p.stopUnit(u, "gang members were lost with the previous leader")
			}
		}
	}
	p.requestPass()
}

// addWorker adds a worker and starts its hold loop. The caller holds the lock.
func (p *pool) addWorker(record *apiv1.PoolWorker) *worker {
	w := newWorker(record)
	p.crashedWorkers.remove(record)
	ctx, cancel := context.WithCancel(p.d.ctx)
	w.cancel = cancel
	p.workers[record.GetId()] = w
	p.workerList = append(p.workerList, w)
	p.d.workerCount.Add(1)
	p.resumeAfterSilence(w, time.Now())
	p.d.spawn(func() { p.holdLoop(ctx, w) })
	return w
}

// recordOf returns the worker's newest record. The caller doesn't hold the lock.
func (p *pool) recordOf(w *worker) *apiv1.PoolWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.record
}

// updateWorkerRecord applies a worker's record: it adds a worker, replaces one
// whose incarnation has ended, or updates capacity and draining state. Records of
// earlier incarnations are ignored.
func (p *pool) updateWorkerRecord(record *apiv1.PoolWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[record.GetId()]
	switch {
	case w == nil:
		if !record.GetGone() {
			p.d.Logger.Info("worker added", "worker", record.GetId(), "born", record.GetBornUnixMs(), "service", p.service,
				"cpu_millis", record.GetCpuMillis(), "draining", record.GetDraining())
			p.addWorker(record)
		}
	case w.record.GetBornUnixMs() < record.GetBornUnixMs():
		p.replaceWorker(w, record, true, "a new incarnation of the worker reported")
	case w.record.GetBornUnixMs() == record.GetBornUnixMs():
		if w.stored == nil && !RecordChanged(w.record, record) {
			return
		}
		w.stored = nil
		if record.GetDraining() != w.record.GetDraining() || record.GetGone() != w.leaving {
			p.d.Logger.Info("worker draining or gone", "worker", record.GetId(), "draining", record.GetDraining(), "gone", record.GetGone(), "runs", len(w.runs))
		}
		w.record, w.leaving = record, record.GetGone()
		p.resizeWorker(w, capacity(record))
	}
	if w != nil && w.stored.GetBornUnixMs() < record.GetBornUnixMs() && record.GetBornUnixMs() < w.record.GetBornUnixMs() {
		w.stored = record // of an incarnation in between
	}
	p.requestPass()
}

// releaseWorker removes a worker whose next incarnation, of the record, belongs to another pool. That
// one stops what this pool has started there.
func (p *pool) releaseWorker(record *apiv1.PoolWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[record.GetId()]
	if w == nil || w.storedRecord().GetBornUnixMs() >= record.GetBornUnixMs() || w.record.GetBornUnixMs() > record.GetBornUnixMs() {
		return
	}
	now := time.Now()
	for _, r := range w.runs {
		if w.stored != nil || r.mayBeOfLaterIncarnation() {
			p.delayRestart(r, now)
		}
	}
	p.removeWorker(w, lossEnded, "its next incarnation belongs to another service")
}

// resizeWorker sets the worker's capacity. If that shrinks below what runs there, nothing is
// stopped, and nothing starts until enough runs have ended. The caller holds the lock.
func (p *pool) resizeWorker(w *worker, size resources) {
	old := w.capacity
	if size == old {
		return
	}
	w.capacity = size
	w.free.add(size)
	w.free.subtract(old)
	p.d.counters.workersResized.Inc(1)
	p.d.Logger.Info("worker capacity changed", "worker", w.id, "cpu_millis", size.cpu, "cpu_millis_before", old.cpu,
		"memory_mb", size.memory, "memory_mb_before", old.memory, "accelerators", size.accelerators,
		"accelerators_before", old.accelerators, "runs", len(w.runs), "overcommitted", w.free.overcommitted())
}

// removeWorker removes a worker on which nothing runs any longer, and discards its runs. If it
// has crashed, that is recorded of their tasks. The caller holds the lock, and calls replaceWorker
// instead if the next incarnation has the same id.
func (p *pool) removeWorker(w *worker, cause lossCause, reason string) {
	now := time.Now()
	ended := w.endedBy(now)
	p.detachWorker(w, reason, now)
	runs := slices.Collect(maps.Values(w.runs))
	crashed, lateStarts := p.crashUnder(w, w.possibleRuns(), ended), slices.Clone(w.lateStarts)
	forgetAt := now
	for _, r := range runs {
		p.discardRun(r)
	}
	switch {
	case w.crashed(cause):
		p.recordCrash(w, crashed, ended)
	case cause == lossSilent:
		w.silent = true
		uncertain := p.delayRestarts(runs)
		for _, r := range uncertain {
			if r.task != nil {
				forgetAt = latestOf(forgetAt, r.task.notBefore)
			}
		}
		p.silentLosses.add(w, crashed, append(lateStarts, uncertain...), now)
	}
	p.markReconciled(w.id)
	p.d.forgetWorker(w.storedRecord(), forgetAt.Sub(now))
	p.requestPass()
}

// detachWorker takes a worker out of the pool and logs its loss. Its runs remain with it. The
// caller holds the lock.
func (p *pool) detachWorker(w *worker, reason string, now time.Time) {
	p.d.Logger.Warn("worker lost", "worker", w.id, "born", w.record.GetBornUnixMs(), "service", p.service, "reason", reason,
		"runs", len(w.runs), "heard_ms_ago", time.Since(w.reportedAt).Milliseconds(), "lease_left_ms", w.leaseEnd.Sub(now).Milliseconds())
	p.d.counters.workersLost.Inc(1)
	w.cancel()
	p.d.workerCount.Add(-1)
	w.lost = true
	if p.workers[w.record.GetId()] == w {
		delete(p.workers, w.record.GetId())
	}
	p.workerList = slices.DeleteFunc(p.workerList, func(other *worker) bool { return other == w })
	if ends := w.uncommitted; len(ends) > 0 {
		p.d.spawn(func() { p.commitEndsOfLost(w, ends) })
	}
	p.settlePredecessor(w, nil)
}

// discardRun removes a run that is certainly over or never started and whose end
// was not reported. Its task can be started again. If it is a member of a gang,
// the other members are stopped. The caller holds the lock.
func (p *pool) discardRun(r *run) {
	r.worker.removeRun(r)
	if r.task == nil {
		return
	}
	p.d.counters.runsLost.Inc(1)
	if r.task.run != r {
		return
	}
	r.task.setRun(nil)
	if r.task.unit.spec.GetGang() && !r.task.done {
		p.stopUnit(r.task.unit, "a gang's member is gone")
	}
}

// removeJob removes a job and stops its runs.
func (p *pool) removeJob(id, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeJobLocked(id, reason)
}

func (p *pool) removeJobLocked(id, reason string) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	delete(p.jobs, id)
	for _, u := range j.units {
		p.releaseReservation(u)
		for _, t := range u.tasks {
			if t.run != nil {
				p.stopRun(t.run, reason)
			}
		}
	}
	p.requestPass()
}
