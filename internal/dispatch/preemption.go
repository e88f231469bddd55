package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptionWindow is how long before its latest start a unit may preempt runs. It
	// covers the stops, a call to the policy service and the starts; earlier, capacity may
	// still become free by itself.
	preemptionWindow = 2500 * time.Millisecond
	// preemptionInterval is the minimum time between two preemptions for one unit, within
	// which the first should have had its effect.
	preemptionInterval = time.Second
	// maxPreemptions bounds how often one task is preempted, so that it is not put off
	// for ever.
	maxPreemptions = 3
)

// mayPreempt reports whether runs of other units may be stopped for the unit: it has to
// start soon to have its full value, and has not preempted just before.
//
// Load pattern: a pool nearly full of work that can wait, in which a wide gang or a burst
// of urgent jobs finds no room. Stopping runs that save their progress costs a stop, a
// start and a restore each; a reservation leaves workers idle until their runs have ended,
// and the wait makes the gang late.
func (u *unit) mayPreempt(now time.Time) bool {
	return u.rank.band <= bandOnTime && u.rank.latestStart.Sub(now) <= preemptionWindow &&
		now.Sub(u.preemptedAt) >= preemptionInterval
}

// yieldsTo reports whether the run may be stopped so that the unit can start. It must save
// its progress when it is stopped, and its own job must be late already or stay on time if
// it resumes once the unit's tasks are done.
func (r *run) yieldsTo(u *unit, now time.Time, stopTime time.Duration) bool {
	if r.phase != phaseActive || r.task == nil || r.task.preemptions >= maxPreemptions {
		return false
	}
	victim := r.task.unit
	if victim == u || !victim.spec.GetCheckpointing() || victim.spec.GetGang() || victim.spec.GetLongRunning() {
		return false
	}
	victimRank := rankOf(victim, now)
	if victimRank.band >= bandLate {
		return true
	}
	return victimRank.band == bandOnTime && victimRank.latestStart.Sub(now) > stopTime+u.estimate()
}

// preemptionOption is a worker, the runs to stop there, and how many tasks of a unit then
// fit.
type preemptionOption struct {
	worker  *worker
	victims []*run
	fitting int
}

// preemptionOn returns how many of the unit's tasks, at most the given number, fit on the
// worker if runs that yield to it are stopped, and the runs that have to be stopped for
// that: the largest first, and none more than necessary.
func (w *worker) preemptionOn(u *unit, tasks int, now time.Time, stopTime time.Duration, guard *preemptionGuard) preemptionOption {
	var yielding []*run
	free := w.freeBy(now, now.Add(stopTime))
	all := free
	for _, r := range w.runs {
		if end, known := r.expectedEnd(now); r.yieldsTo(u, now, stopTime) && known && end.After(now.Add(stopTime)) && guard.allows(r) {
			yielding = append(yielding, r)
			all.add(r.size)
		}
	}
	option := preemptionOption{worker: w, fitting: min(tasks, u.limitPerWorker(w, all.fitCount(u.size)))}
	slices.SortFunc(yielding, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.cpu, a.size.cpu), cmp.Compare(a.name, b.name))
	})
	for _, r := range yielding {
		if free.fitCount(u.size) >= option.fitting {
			break
		}
		free.add(r.size)
		option.victims = append(option.victims, r)
	}
	return option
}

// choosePreemptions returns the workers that hold the tasks if the victims are stopped,
// those with the fewest victims for each task first. It returns none if the workers can't
// hold all of the tasks and allOrNone is set.
func choosePreemptions(u *unit, workers []*worker, tasks int, now time.Time, stopTime time.Duration, allOrNone bool, guard *preemptionGuard) []preemptionOption {
	var options []preemptionOption
	total := 0
	for _, w := range workers {
		if option := w.preemptionOn(u, tasks, now, stopTime, guard); option.fitting > 0 {
			options = append(options, option)
			total += option.fitting
		}
	}
	if allOrNone && total < tasks {
		return nil
	}
	slices.SortFunc(options, func(a, b preemptionOption) int {
		return cmp.Or(cmp.Compare(len(a.victims)*b.fitting, len(b.victims)*a.fitting),
			cmp.Compare(b.fitting, a.fitting), cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
	for i, option := range options {
		if option.fitting >= tasks {
			options[i] = option.worker.preemptionOn(u, tasks, now, stopTime, guard)
			return options[:i+1]
		}
		tasks -= option.fitting
	}
	return options
}

// preempt stops the victims of the options for the unit. The caller holds the lock.
func (p *pool) preempt(u *unit, options []preemptionOption, now time.Time) {
	for _, option := range options {
		for _, r := range option.victims {
			r.task.preemptions++
			p.d.counters.runsPreempted.Inc(1)
			p.stopRun(r, "preempted by "+u.name())
			u.preemptedAt = now
		}
	}
}

// preemptForGang reserves workers for a gang that can start once the runs that yield to it
// are stopped there, and stops them. The caller holds the lock.
func (p *pool) preemptForGang(u *unit, available []*worker, tasks int, now time.Time) bool {
	stopTime := p.d.Timing.StopTime
	options := choosePreemptions(u, available, tasks, now, stopTime, true, p.newPreemptionGuard(u))
	if len(options) == 0 {
		return false
	}
	var chosen []*worker
	for _, option := range options {
		chosen = append(chosen, option.worker)
	}
	p.holdReservation(u, chosen, now.Add(stopTime))
	p.preempt(u, options, now)
	return true
}

// preemptIfTooLate preempts runs for a gang whose reserved workers won't have enough
// capacity in time, on these workers or others. The reservation stays if that isn't
// possible. The caller holds the lock.
func (p *pool) preemptIfTooLate(u *unit, tasks int, pass *passState) {
	if !u.mayPreempt(pass.now) || u.reservation.beyondLimit {
		return
	}
	held, fitting := *u.reservation, 0
	for _, w := range held.workers {
		fitting += w.expectedFit(u, pass.now, pass.now.Add(p.d.Timing.StopTime))
	}
	if fitting >= tasks {
		return
	}
	p.releaseReservation(u)
	if !p.preemptForGang(u, p.reservableWorkers(u, pass.now), tasks, pass.now) {
		p.holdReservation(u, held.workers, held.expectedStart)
	}
	pass.reserved = nil
}

// preemptForTasks stops runs for tasks of an urgent unit on workers for which it holds
// tickets. Nothing is reserved: urgent units come first in the next pass. The caller holds
// the lock.
func (p *pool) preemptForTasks(u *unit, tasks int, now time.Time) {
	if u.rank.band != bandUrgent || !u.mayPreempt(now) {
		return
	}
	stopTime := p.d.Timing.StopTime
	var usable []*worker
	for _, w := range p.allowedWorkers(u) {
		hasTicket := u.job.queue.GetPolicy() == nil || u.advice.tickets[w].validAt(now.Add(stopTime))
		if hasTicket && p.mayStartOn(w, u, now) {
			usable = append(usable, w)
		}
	}
	p.preempt(u, choosePreemptions(u, usable, tasks, now, stopTime, false, p.newPreemptionGuard(u)), now)
}
