package dispatch

import (
	"slices"
	"time"
)

const (
	// busyTrialShare and quietTrialShare are the fractions of a pool's workers, with those that
	// have crashed and are not back, that trials may take; the others serve the harmless work. A
	// pool is quiet if no harmless unit has waited for harmlessWait during quietPeriod.
	busyTrialShare  = 0.5
	quietTrialShare = 0.75
	harmlessWait    = 300 * time.Millisecond
	quietPeriod     = 2 * time.Second
	// crashesFactor multiplies these fractions while at least maxCrashedShare of the workers are
	// down, so that trials don't take the rest down as well.
	crashesFactor   = 0.5
	maxCrashedShare = 0.1
	// maxCulpritShare is the fraction of the trial workers that units may take to which a
	// crash is attributed, while others wait for a trial: they will hardly be completed.
	// quietCulpritShare takes its place together with quietTrialShare.
	maxCulpritShare   = 0.25
	quietCulpritShare = 0.5
	// trialLinger is how long a trial worker is kept without a use. Giving it back and
	// choosing another costs the time in which the runs there end.
	trialLinger = time.Second
	// maxTrialUnits bounds the units for which a pass chooses trial workers.
	maxTrialUnits = 64
)

// trialWorkers chooses, in one pass, the workers on which contained and isolated units run.
//
// Load pattern: more tasks that crash their workers than workers. Without a limit all workers
// are down all the time, and nothing is served.
type trialWorkers struct {
	p         *pool
	now       time.Time
	limit     int // of used
	hardLimit int // of used, for units that none of the trial workers could run
	// limitDuringCrashes is the lowest value of limit. It is what admission reckons with: limit itself changes as
	// crashed workers come back and crash again.
	limitDuringCrashes int
	used               int // trial workers and crashed ones
	culpritLimit       int // of culprits
	culprits           int // trial workers of units to which a crash is attributed
	// gathering holds the units that were given trial workers by the last pass and still wait:
	// for an answer of the policy service, or the members of a gang for more workers.
	gathering map[*unit]bool
}

// chooseTrialWorkers chooses workers for the waiting units that need trials, and gives those
// back that are not needed any more. The caller holds the lock.
func (p *pool) chooseTrialWorkers(waiting []*unit, harmlessWaits bool, now time.Time) {
	quiet := p.quiet(waiting, harmlessWaits, now)
	if !p.trialsInUse && len(p.containments) == 0 && !slices.ContainsFunc(waiting, func(u *unit) bool { return u.risk.onTrial() }) {
		return
	}
	tw := p.newTrialWorkers(quiet, now)
	var untested, culprits []*unit
	for _, c := range p.containments {
		c.counted, c.waiting, c.culprits, c.trialLimit = true, 0, 0, tw.limitDuringCrashes
	}
	p.countProbableTrials()
	p.countInheritedTrials(now)
	for _, u := range waiting {
		if !u.risk.onTrial() {
			continue
		}
		c := p.containments[u.job.queue.GetName()] // nil if only the unit is isolated
		if u.likelyCulprit() {
			culprits = append(culprits, u)
			c.countWaiting(0, 1)
		} else {
			untested = append(untested, u)
			c.countWaiting(1, 0)
		}
	}
	untested = tw.gatheringFirst(withOldest(untested))
	for _, u := range untested[:min(len(untested), maxTrialUnits)] {
		tw.claimFor(u)
	}
	if len(untested) == 0 {
		tw.culpritLimit = tw.limit
	}
	for _, u := range culprits[:min(len(culprits), maxTrialUnits)] {
		if tw.culprits >= tw.culpritLimit {
			break
		}
		tw.claimFor(u)
	}
	p.trialsInUse = false
	for _, w := range p.workerList {
		if w.trial && len(w.trialClaims) == 0 && now.Sub(w.trialUsedAt) > trialLinger && !w.hasTrialRun(now) {
			w.trial = false
		}
		p.trialsInUse = p.trialsInUse || w.trial
	}
}

// countProbableTrials counts, as waiting, the units whose tasks run on workers that have probably
// crashed: they will need a trial, or a further one, once that is certain.
func (p *pool) countProbableTrials() {
	for _, w := range p.workerList {
		if !w.suspected {
			continue
		}
		counted := make(map[*unit]bool)
		for _, r := range w.runs {
			if r.task == nil || r.task.done || counted[r.task.unit] {
				continue
			}
			u := r.task.unit
			counted[u] = true
			c := p.containments[u.job.queue.GetName()]
			if u.risk.onTrial() || u.likelyCulprit() {
				c.countWaiting(0, 1)
			} else {
				c.countWaiting(1, 0)
			}
		}
	}
}

// countInheritedTrials counts, as waiting, the units with tasks that the previous leader may have started and that no
// worker has reported: most will need a trial once the workers are reconciled.
func (p *pool) countInheritedTrials(now time.Time) {
	if len(p.unreconciled) == 0 {
		return
	}
	nowUnixMs := p.d.nowUnixMs()
	for _, j := range p.jobs {
		c := p.containments[j.queue.GetName()]
		if !c.active(now) {
			continue
		}
		for _, u := range j.units {
			switch {
			case !u.ready(nowUnixMs) || u.hasPendingTask(now):
			case !slices.ContainsFunc(u.tasks, func(t *task) bool { return t.mayBeRunning }):
			case u.likelyCulprit():
				c.countWaiting(0, 1)
			default:
				c.countWaiting(1, 0)
			}
		}
	}
}

// newTrialWorkers counts what is on trial and computes the limits of a pass.
func (p *pool) newTrialWorkers(quiet bool, now time.Time) *trialWorkers {
	tw := &trialWorkers{p: p, now: now, gathering: make(map[*unit]bool)}
	suspected := 0 // workers that have probably crashed, or have not reported since
	for _, w := range p.workerList {
		for _, u := range w.trialClaims {
			tw.gathering[u] = true
		}
		w.trialClaims = nil
		switch {
		case w.suspected || w.stored != nil:
			suspected++
			continue
		case w.trial:
			tw.used++
		}
		if w.hasCulprit() {
			tw.culprits++
		}
	}
	p.d.counters.workersOnTrial.Update(int64(tw.used))
	crashed := p.crashedWorkers.count(now)
	total := len(p.workerList) + crashed
	crashed += suspected
	tw.used += crashed
	trialShare, culpritShare := busyTrialShare, maxCulpritShare
	if quiet {
		trialShare, culpritShare = quietTrialShare, quietCulpritShare
	}
	if float64(crashed) >= maxCrashedShare*float64(total) {
		trialShare *= crashesFactor
	}
	tw.limit = max(1, int(trialShare*float64(total)))
	tw.limitDuringCrashes = max(1, int(busyTrialShare*crashesFactor*float64(total)))
	tw.hardLimit = max(1, int(quietTrialShare*float64(total)))
	tw.culpritLimit = max(1, int(culpritShare*float64(tw.limit)))
	return tw
}

// quiet reports whether no harmless unit has waited for long lately.
func (p *pool) quiet(waiting []*unit, harmlessWaits bool, now time.Time) bool {
	if harmlessWaits || slices.ContainsFunc(waiting, func(u *unit) bool { return u.waitsLongHarmlessly(now) }) {
		p.harmlessWaitedAt = now
	}
	return now.Sub(p.harmlessWaitedAt) >= quietPeriod
}

// waitsLongHarmlessly reports whether the unit waits, but not for a trial, for longer than harmlessWait.
func (u *unit) waitsLongHarmlessly(now time.Time) bool {
	return !u.risk.onTrial() && now.Sub(u.waitingSince) > harmlessWait
}
