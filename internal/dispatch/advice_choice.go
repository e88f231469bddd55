package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// workersToAskAbout returns the workers to ask about for tasks that are placed one
// by one: allowed workers with free capacity but without a valid ticket and, if
// the allowed workers have too little free capacity, new workers.
func (p *pool) workersToAskAbout(u *unit, tasks int, now time.Time) []*worker {
	chosen, fitting := p.workersToRenew(u, tasks, now)
	if fitting >= tasks {
		return chosen
	}
	return append(chosen, p.newWorkersToAskAbout(u, maxWorkersPerCall-len(chosen), tasks-fitting, now)...)
}

// workersToRenew returns the allowed workers whose tickets have to be renewed so
// that the tasks can be placed. fitting is the number of tasks that fit on the
// allowed workers considered, whether or not their tickets are valid.
func (p *pool) workersToRenew(u *unit, tasks int, now time.Time) (chosen []*worker, fitting int) {
	var options []workerFit
	for _, t := range u.advice.allowedTickets {
		if p.mayStartOn(t.worker, u, now) {
			options = appendFit(options, t.worker, p.freeFit(t.worker, u))
		}
	}
	sortByFit(options)
	for _, opt := range options {
		if float64(fitting) >= allowedFitFactor*float64(tasks) || len(chosen) >= maxWorkersPerCall {
			break
		}
		fitting += opt.fitting
		if !u.advice.tickets[opt.worker].validAt(now) {
			chosen = append(chosen, opt.worker)
		}
	}
	return chosen, fitting
}

// workerFit is a worker and the number of a unit's tasks that fit on it.
type workerFit struct {
	worker  *worker
	fitting int
}

// appendFit appends the worker if at least one task fits on it.
func appendFit(options []workerFit, w *worker, fitting int) []workerFit {
	if fitting <= 0 {
		return options
	}
	return append(options, workerFit{w, fitting})
}

// sortByFit sorts by descending number of fitting tasks, then by worker id.
func sortByFit(options []workerFit) {
	slices.SortFunc(options, func(a, b workerFit) int {
		return cmp.Or(cmp.Compare(b.fitting, a.fitting), cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
}

// freeFit returns how many of the unit's tasks fit on the worker now.
func (p *pool) freeFit(w *worker, u *unit) int {
	return u.limitPerWorker(w, w.free.fitCount(u.size))
}

// limitPerWorker reduces the number of fitting tasks to what the step's limit per
// worker leaves, and to a single task if the worker has to be probed after
// failures.
func (u *unit) limitPerWorker(w *worker, fitting int) int {
	if w.health.failures >= failuresToQuarantine {
		fitting = min(fitting, 1)
	}
	if limit := int(u.spec.GetMaxPerWorker()); limit > 0 {
		return min(fitting, max(0, limit-w.runsOfUnit(u)))
	}
	return fitting
}
