package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// addWorker adds a worker and starts its hold loop. The caller holds the lock.
func (p *pool) addWorker(record *apiv1.PoolWorker) *worker {
	w := newWorker(record)
	w.pool = p
	p.crashedWorkers.remove(record)
	ctx, cancel := context.WithCancel(p.d.ctx)
	w.cancel = cancel
	p.workers[record.GetId()] = w
	p.workerList = append(p.workerList, w)
	w.slot = p.slots.take()
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
		r.staysCounted = cause == lossSilent && r.mayBeOfLaterIncarnation()
		p.loseRun(r)
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
	p.loseUnreconciled(w)
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
	p.slots.release(w.slot)
	if ends := w.uncommitted; len(ends) > 0 {
		p.d.spawn(func() { p.commitEndsOfLost(w, ends) })
	}
	p.settlePredecessor(w, nil)
}
