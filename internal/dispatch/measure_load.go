package dispatch

import (
	"math"
	"time"

	"github.com/pistachioport/pistachioport/internal/admission"
)

const (
	// loadInterval is the minimum time between two measurements of the load, which visit all
	// workers and unfinished units.
	loadInterval = 100 * time.Millisecond
	// loadRestFactor is the minimum of that time as a multiple of what a measurement takes.
	loadRestFactor = 50
	// utilizationPeriod is the time constant of the moving average of the utilization: some
	// tasks' time, so that runs which end together don't look like a loss of capacity.
	utilizationPeriod = 5 * time.Second
)

// measureLoad gives the load after a pass to the decisions on new jobs. The caller holds the lock.
func (p *pool) measureLoad(now time.Time, nowUnixMs int64) {
	a := p.loadAdmission
	if a == nil || now.Sub(a.measuredAt) < max(loadInterval, loadRestFactor*a.measureTime) {
		return
	}
	begin := time.Now()
	defer func() { a.measureTime = time.Since(begin) }()
	capacity, used, idle := p.measureWorkers(now)
	p.recordFreeCPU(now)
	inUse := admission.Utilization(used, capacity)
	weight := 1 - math.Exp(-float64(now.Sub(a.measuredAt))/float64(utilizationPeriod))
	a.utilization += weight * (inUse - a.utilization)
	a.measuredAt = now
	load := admission.NewLoad(capacity, max(inUse, a.utilization), idle)
	var bands [bandExpired + 1]int64
	for _, j := range p.jobs {
		for _, u := range j.units {
			if p.addToLoad(load, u, now, nowUnixMs) {
				bands[rankOf(u, now).band]++
			}
		}
	}
	p.d.counters.unitsOnTime.Update(bands[bandUrgent] + bands[bandOnTime])
	p.d.counters.unitsExpired.Update(bands[bandExpired])
	a.gate.SetLoad(now, load)
}

// recordFreeCPU records the CPU of the workers that runs may be started on, and what of it is free.
func (p *pool) recordFreeCPU(now time.Time) {
	var free, capacity int64
	for _, w := range p.workerList {
		if !w.trial && w.schedulable(now) {
			free, capacity = free+max(0, w.free.cpu), capacity+w.capacity.cpu
		}
	}
	p.d.counters.cpuFree.Update(free)
	p.d.counters.cpuCapacity.Update(capacity)
}

// measureWorkers returns the capacity for work that ends, what of it is in use, and what is free on
// each worker for tasks that need no trial and no reservation. There is no capacity while runs of
// the previous leader may be unknown.
func (p *pool) measureWorkers(now time.Time) (capacity, used admission.Amounts, idle []admission.Amounts) {
	if len(p.unreconciled) > 0 {
		return capacity, used, nil
	}
	for _, w := range p.workerList {
		if w.lost || !w.synced || w.stored != nil || w.record.GetDraining() || w.leaving {
			continue
		}
		usable := w.capacity
		for _, r := range w.runs {
			if r.isLongRunning() {
				usable.subtract(r.size)
			}
		}
		busy := usable
		busy.subtract(w.free)
		capacity, used = capacity.Plus(usable.amounts()), used.Plus(busy.amounts())
		if w.free.cpu > 0 && !w.free.overcommitted() && w.reservedFor == nil && !w.trial && w.schedulable(now) {
			idle = append(idle, w.free.amounts())
		}
	}
	return capacity, used, idle
}

// addToLoad adds the unit's tasks without a run to the load. Units that wait for an earlier step
// count, since that step's job is ahead of new ones; occurrences that are not due don't. It reports whether
// tasks were added.
func (p *pool) addToLoad(load *admission.Load, u *unit, now time.Time, nowUnixMs int64) bool {
	waiting := u.remaining - u.active
	if u.remaining == 0 || u.spec.GetLongRunning() || nowUnixMs < u.dueUnixMs() {
		return false
	}
	name := u.job.workspace
	if !load.Active(name) {
		load.Activate(name, p.d.workspace(name).GetWeight())
	}
	if waiting <= 0 || !u.waitsForCapacity(now) {
		return false
	}
	r := rankOf(u, now)
	remaining := 0.0
	if r.band == bandLate {
		remaining = u.job.remainingWork(u.occurrence)
	}
	load.AddWaiting(admission.Waiting{
		Workspace: name, OverRate: u.job.overRate, Band: admission.Band(r.band), Priority: r.priority,
		Slack: r.latestStart.Sub(now), Remaining: remaining,
		Work: u.remainingWork(waiting, p.loadAdmission.ratios.Mean(u.job.queue.GetName())),
	})
	return true
}

// waitsForCapacity reports whether, in the pass at the time, the unit's tasks may start on any worker with
// room. Those of units on trial wait for trial workers, which serve no other work, and some
// wait for the cap of their workspace.
func (u *unit) waitsForCapacity(now time.Time) bool {
	return !u.risk.onTrial() && !u.heldAt.Equal(now) && (u.parking == nil || !u.parking.held)
}
