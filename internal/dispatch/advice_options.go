package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFitLevels bounds the number of fitting tasks that workers are told apart by.
	maxFitLevels = 16
	// sufficientOptions is the number of workers that each hold their share of the tasks
	// after which no others are looked at.
	sufficientOptions = 2 * minWorkersPerCall
	// maxExamined bounds the workers that are looked at for a call about single tasks, so
	// that the cost does not grow with the pool: four for each that the call can name.
	// Gangs are few and need the emptiest workers.
	maxExamined = 4 * maxWorkersPerCall
)

// newWorkersToAskAbout returns at most maxWorkers workers that the policy service
// has not been asked about, those with the most free capacity first. They are so
// many that the share of them that it usually allows has enough capacity for the
// tasks.
func (p *pool) newWorkersToAskAbout(u *unit, maxWorkers, tasks int, now time.Time) []*worker {
	share := p.allowedShare(u.job.queue.GetName())
	needed := newWorkerFitFactor * float64(tasks)
	enoughPerWorker := int(math.Ceil(needed / (share * minWorkersPerCall)))
	var chosen []*worker
	found := 0.0
	for i, opt := range p.adviceOptions(u, min(enoughPerWorker, maxFitLevels), now) {
		if len(chosen) >= maxWorkers || (found >= needed && i >= minWorkersPerCall) {
			break
		}
		chosen = append(chosen, opt.worker)
		found += share * (freeFitWeight*float64(opt.fitting) + emptyFitWeight*float64(opt.worker.capacity.fitCount(u.size)))
	}
	return chosen
}

// adviceOptions returns workers that the unit may start on and has not asked about, by
// descending number of fitting tasks, where numbers from enough on count as equal. Workers
// that are reserved for another unit come last.
//
// Load pattern: a burst of small jobs, as after an outage. Workers that count as equal
// follow in an order of the unit's own; if all units asked about the same emptiest workers,
// most would find them taken when the answers arrive, and ask again. Only maxExamined of
// them are looked at, in that order.
func (p *pool) adviceOptions(u *unit, enough int, now time.Time) []workerFit {
	levels := make([][]workerFit, enough+1)
	sufficient, examined := 0, 0
	for w := range u.workersInOwnOrder(p.workerList) {
		if examined++; examined > maxExamined && !u.spec.GetGang() {
			break
		}
		if u.advice.wasAskedAbout(w) || !p.mayAskAbout(w, u, now) {
			continue
		}
		fitting := p.freeFit(w, u)
		if u.risk.onTrial() {
			fitting = u.limitPerWorker(w, w.capacity.fitCount(u.size))
		}
		level := min(fitting, enough)
		if w.isReservedForOther(u) {
			level = 0
		}
		levels[level] = append(levels[level], workerFit{w, fitting})
		if level == enough {
			if sufficient++; sufficient >= sufficientOptions {
				break
			}
		}
	}
	var options []workerFit
	for level := enough; level >= 0; level-- {
		options = append(options, levels[level]...)
	}
	return options
}

// workersInOwnOrder iterates over the workers in an order that depends on the unit: it
// starts anywhere and advances by a stride that visits each once.
func (u *unit) workersInOwnOrder(workers []*worker) func(yield func(*worker) bool) {
	return func(yield func(*worker) bool) {
		n := uint64(len(workers))
		if n == 0 {
			return
		}
		seed := xxhash.Sum64String(u.name())
		position, stride := seed%n, 1+(seed>>32)%n
		for greatestCommonDivisor(stride, n) != 1 {
			stride++
		}
		for range n {
			if !yield(workers[position]) {
				return
			}
			position = (position + stride) % n
		}
	}
}

func greatestCommonDivisor(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// mayAskAbout reports whether the unit may ask about the worker: whether it may start there now or,
// on trial, whether the worker could become a trial worker for it.
func (p *pool) mayAskAbout(w *worker, u *unit, now time.Time) bool {
	if u.risk.onTrial() {
		return !w.lost && w.schedulable(now) && w.hasLabel(u.spec.GetLabel()) && w.capacity.fits(u.size)
	}
	return p.mayStartOn(w, u, now)
}
