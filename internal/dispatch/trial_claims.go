package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// claimFor claims trial workers for the unit's waiting tasks, and makes more workers trial
// workers up to the limit. The limit is exceeded for a unit that could not start on any of the
// trial workers even if they were empty, since it is a gang or is allowed on few workers, but for a
// single task only up to the share of a quiet pool.
func (tw *trialWorkers) claimFor(u *unit) {
	missing := len(u.pending(tw.now))
	capacity := 0 // for the unit's tasks on all usable trial workers
	claim := func(w *worker) {
		w.trialClaims = append(w.trialClaims, u)
		w.trialUsedAt = tw.now
		missing -= tw.fit(w, u)
		if u.likelyCulprit() {
			tw.culprits++
		}
	}
	needed, limit := 1, tw.limit
	if u.spec.GetGang() {
		needed = missing
	}
	for _, w := range tw.p.workerList {
		if missing <= 0 {
			return
		}
		if !w.trial || !tw.usable(w, u) {
			continue
		}
		capacity += w.capacity.fitCount(u.size)
		if tw.shareable(w, u) {
			claim(w)
		}
	}
	switch {
	case capacity >= needed:
	case u.spec.GetGang():
		limit = math.MaxInt
	default:
		limit = tw.hardLimit
	}
	if tw.used >= limit {
		return
	}
	for _, w := range tw.emptiest(u) {
		if missing <= 0 || tw.used >= limit || (tw.used >= tw.limit && capacity >= needed) {
			return
		}
		w.trial = true
		tw.used++
		capacity += w.capacity.fitCount(u.size)
		claim(w)
	}
}

// shareable reports whether the unit may run on the trial worker beside what is claimed there
// and what runs there.
func (tw *trialWorkers) shareable(w *worker, u *unit) bool {
	if tw.fit(w, u) <= 0 || (!w.beingCleared(tw.now) && !tw.p.admitsBeside(w, u, tw.now)) {
		return false
	}
	claims := w.trialClaims
	if len(claims) == 0 {
		return true
	}
	alone := u.risk == riskIsolated || u.spec.GetGang() || claims[0].risk == riskIsolated || claims[0].spec.GetGang()
	return !alone && len(claims) < tw.p.groupLimit(u)
}

// fit returns how many of the unit's tasks fit on the trial worker. A gang waits until its workers
// are free, and so do all units on a worker that is being cleared.
func (tw *trialWorkers) fit(w *worker, u *unit) int {
	free := w.free
	if u.spec.GetGang() || w.beingCleared(tw.now) {
		free = w.freeOnceCleared()
	}
	return u.limitPerWorker(w, free.fitCount(u.size))
}

// beingCleared reports whether runs of units that need no trial are on the worker, but none on
// trial. They leave it as they end, except for long-running ones.
func (w *worker) beingCleared(now time.Time) bool {
	for _, r := range w.runs {
		if !r.isLongRunning() {
			return !w.hasTrialRun(now)
		}
	}
	return false
}

// usable reports whether the unit could run on the worker if it were empty. While the policy is
// not known to allow any worker, one that was not asked about may be usable.
func (tw *trialWorkers) usable(w *worker, u *unit) bool {
	if !w.schedulable(tw.now) || !w.hasLabel(u.spec.GetLabel()) || !w.capacity.fits(u.size) {
		return false
	}
	return u.job.queue.GetPolicy() == nil || u.advice.allowed(w) || (!u.advice.allowsAny() && !u.advice.wasAskedAbout(w))
}

// freeOnceCleared returns the resources that long-running tasks leave free.
func (w *worker) freeOnceCleared() resources {
	free := w.capacity
	for _, r := range w.runs {
		if r.isLongRunning() {
			free.subtract(r.size)
		}
	}
	return free
}

// emptiest returns the workers that may become trial workers for the unit: those first that have
// no long-running tasks, then those that the policy is known to allow, then those whose runs end
// soonest.
func (tw *trialWorkers) emptiest(u *unit) []*worker {
	type option struct {
		worker  *worker
		shared  int // number of long-running tasks, which would be lost in a crash
		unknown int // 1: the policy service has not been asked about it
		busyFor time.Duration
	}
	var options []option
	for _, w := range tw.p.workerList {
		if w.trial || w.reservedFor != nil || !tw.usable(w, u) {
			continue
		}
		if !w.freeOnceCleared().fits(u.size) {
			continue
		}
		busyFor, shared := w.busyFor(tw.now)
		one := option{worker: w, busyFor: busyFor, shared: shared}
		if u.job.queue.GetPolicy() != nil && !u.advice.allowed(w) {
			one.unknown = 1
		}
		options = append(options, one)
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.shared, b.shared), cmp.Compare(a.unknown, b.unknown), cmp.Compare(a.busyFor, b.busyFor),
			cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
	found := make([]*worker, len(options))
	for i, one := range options {
		found[i] = one.worker
	}
	return found
}

// busyFor returns how long the worker's runs are expected to last, and how many are of unknown
// length, mostly of long-running tasks.
func (w *worker) busyFor(now time.Time) (longest time.Duration, unknown int) {
	for _, r := range w.runs {
		if end, known := r.expectedEnd(now); known {
			longest = max(longest, end.Sub(now))
		} else {
			unknown++
		}
	}
	return longest, unknown
}

// hasTrialRun reports whether a run of a contained or isolated unit is on the worker. One of a
// long-running task counts only at first, or the worker would stay a trial worker for ever.
func (w *worker) hasTrialRun(now time.Time) bool {
	if w.riskyRuns == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.risk.onTrial() && (!r.isLongRunning() || now.Sub(r.confirmedAt) <= longRunningProbation) {
			return true
		}
	}
	return false
}

// hasCulprit reports whether a run of a likely culprit is on the worker.
func (w *worker) hasCulprit() bool {
	if w.riskyRuns == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && r.task.unit.likelyCulprit() {
			return true
		}
	}
	return false
}

// groupLimit returns how many contained jobs of the unit's queue may share a worker.
func (p *pool) groupLimit(u *unit) int {
	if c := p.containments[u.job.queue.GetName()]; c != nil {
		return c.groupLimit
	}
	return 1
}
