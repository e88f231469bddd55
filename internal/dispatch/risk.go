package dispatch

import (
	"slices"
	"time"
)

// risk tells how likely a unit's tasks are to crash the worker that starts them, and so
// what they may run beside.
//
// Load pattern: tasks that crash each worker that starts them. Without rules the tasks of a
// crashed worker start again side by side on the next one, the harmless ones are lost again
// and again, and nothing tells which of them is the cause.
type risk int

const (
	// riskNone: runs beside anything but the runs of contained and isolated units.
	riskNone risk = iota
	// riskSuspect: a worker has crashed under a task. It runs beside anything, but rather not
	// beside other suspects, so that a second crash points at it.
	riskSuspect
	// riskContained: other tasks of the queue crash workers, and this one may too. It runs on
	// trial workers, beside a limited number of other contained jobs.
	riskContained
	// riskIsolated: it has probably crashed workers. It runs on trial workers, beside nothing of
	// other jobs that may have caused a crash, so that the next crash is certainly its own.
	riskIsolated
)

const (
	suspectCrashes  = 1 // crashes under one task that make it a suspect
	pointingCrashes = 2 // crashes that point at the task if it was the youngest in the last one: most come soon after the start
	isolatedCrashes = 3 // crashes after which it is isolated in any case
	// minWorkersForTrials: in a smaller pool a trial would stop all other work.
	minWorkersForTrials = 2
)

// riskOf returns the risk of the unit's tasks.
func (p *pool) riskOf(u *unit, now time.Time) risk {
	contained := p.containments[u.job.queue.GetName()].active(now)
	trialsPossible := len(p.workerList)+len(p.crashedWorkers) >= minWorkersForTrials
	switch {
	case u.mostCrashes < suspectCrashes && (!contained || !trialsPossible):
		return riskNone
	case !trialsPossible:
		return riskSuspect
	case u.mostCrashes >= isolatedCrashes, u.mostCrashes >= pointingCrashes && u.pointedAt,
		u.mostCrashes >= suspectCrashes && contained:
		return riskIsolated
	case contained:
		return riskContained
	default:
		return riskSuspect
	}
}

// onTrial reports whether the unit's tasks may only run on trial workers.
func (r risk) onTrial() bool { return r >= riskContained }

// admits reports whether the unit may start tasks on the worker, as far as risks are concerned.
// A trial worker admits the units that it is kept for, and other workers those that need none.
func (p *pool) admits(w *worker, u *unit, now time.Time) bool {
	if u.risk.onTrial() {
		return w.trial && slices.Contains(w.trialClaims, u) && p.admitsBeside(w, u, now)
	}
	return !w.trial && p.admitsBeside(w, u, now)
}

// admitsBeside reports whether the unit may start tasks beside the runs on the worker. Units on
// trial and others exclude each other. Among those on trial, runs that are proven harmless don't
// count: a contained unit may run beside a limited number of other contained jobs, an isolated
// one beside none.
func (p *pool) admitsBeside(w *worker, u *unit, now time.Time) bool {
	if u.risk == riskNone && w.riskyRuns == 0 {
		return true
	}
	unproven := make(map[string]bool)
	for _, r := range w.runs {
		job := jobOf(r.name)
		switch {
		case job == u.job.id:
			continue
		case r.isLongRunning():
			continue // it is there to stay; it is lost with the worker if that crashes
		case u.risk.onTrial() != r.risk.onTrial():
			return false
		case !u.risk.onTrial() || p.provenHarmless(r, now):
			continue
		case u.risk == riskIsolated || r.risk == riskIsolated:
			return false
		}
		unproven[job] = true
	}
	return u.risk != riskContained || len(unproven) < p.groupLimit(u)
}
