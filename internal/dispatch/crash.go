package dispatch

import (
	"math"
	"time"
)

// lossCause tells how a worker was lost.
type lossCause int

const (
	lossSilent lossCause = iota // it does not answer; its leases have expired
	lossEnded                   // its incarnation has ended: another one answers or reports
)

const (
	// maxSilenceBeforeCrash is how long a worker may not have answered when its end becomes
	// known, so that it can be attributed to what it ran: two polls. After a longer
	// silence it may have been cut off or without power.
	maxSilenceBeforeCrash = 2500 * time.Millisecond
	// startTogether is the difference between the ages of runs below which neither is the
	// younger one: the tasks of a unit start in one pass, but their requests take turns.
	startTogether = 50 * time.Millisecond
	// longRunningProbation is the age up to which a run of a long-running task counts as a
	// possible cause of its worker's crash. Such tasks outlive many workers.
	longRunningProbation = time.Minute
)

// crashed reports whether the worker's loss may have been caused by one of its runs. A worker
// that is only silent or that has announced its leave has not crashed.
func (w *worker) crashed(cause lossCause) bool {
	return cause == lossEnded && !w.record.GetDraining() && !w.leaving
}

// possibleRuns returns the worker's runs but for those that it has listed its runs without.
func (w *worker) possibleRuns() []*run {
	var runs []*run
	for _, r := range w.runs {
		if !r.absent {
			runs = append(runs, r)
		}
	}
	return runs
}

// crash is a worker's crash and the runs that may have caused it.
type crash struct {
	suspects   []*run
	attributed bool          // the suspects are certainly of the job that caused it
	alone      bool          // they are of one job and on trial
	youngest   time.Duration // age of the youngest suspect
}

// crashUnder returns which of the runs may have caused the worker's crash: those whose start may
// have been executed and that were not proven harmless when the worker was last heard from or, if
// all were, all of them. The crash is attributed to their job if they are all of one and on trial,
// and the worker has answered shortly before. One of the runs must have been confirmed,
// unless crashes point at its task already: the start may have found the worker down.
func (p *pool) crashUnder(w *worker, runs []*run, now time.Time) crash {
	var proven, unproven []*run
	for _, r := range runs {
		switch {
		case !r.sent:
		case p.provenHarmless(r, w.heardAt):
			proven = append(proven, r)
		default:
			unproven = append(unproven, r)
		}
	}
	c := crash{suspects: unproven, youngest: math.MaxInt64}
	if len(unproven) == 0 {
		c.suspects = proven
	}
	oneJob, confirmed := true, false
	for _, r := range c.suspects {
		oneJob = oneJob && r.risk.onTrial() && jobOf(r.name) == jobOf(c.suspects[0].name)
		confirmed = confirmed || !r.confirmedAt.IsZero() || (r.task != nil && r.task.crashes.Count() >= pointingCrashes)
		c.youngest = min(c.youngest, r.age(now))
	}
	c.alone = len(unproven) > 0 && oneJob
	c.attributed = c.alone && confirmed && now.Sub(w.heardAt) <= maxSilenceBeforeCrash
	return c
}

// age returns how long ago the run was started, or adopted.
func (r *run) age(now time.Time) time.Duration {
	if r.startSent.IsZero() {
		return now.Sub(r.confirmedAt)
	}
	return now.Sub(r.startSent)
}

// jobOf returns the id of the job to which the task of that name belongs.
func jobOf(task string) string {
	name, _ := parseTaskName(task)
	return name.job
}

// provenHarmless reports whether the run has worked for so long that it is not the cause of a
// crash: a long-running task, or one of a contained queue whose other tasks crash their workers
// at a lower age.
func (p *pool) provenHarmless(r *run, now time.Time) bool {
	if r.task == nil || r.confirmedAt.IsZero() {
		return false
	}
	age := now.Sub(r.confirmedAt)
	if r.task.unit.spec.GetLongRunning() {
		return age > longRunningProbation
	}
	c := p.containments[r.task.unit.job.queue.GetName()]
	return c.active(now) && age > c.probation()
}
