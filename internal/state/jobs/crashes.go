package jobs

import "slices"

// A crash of a worker tells that one of the tasks on it may have caused it, not which, and
// workers also crash for causes of their own. A crash is attributed to a job if the worker was
// on trial and ran nothing else that might have caused it. A job is given up after maxAttributed
// such crashes under one task, after maxCrashes of which one is attributed, or after
// maxUnattributed of which one left only this job on trial: a task may crash workers before
// they confirm its start, or silence them, so that none of the crashes is attributed. After
// lastCrash a task is not started again in any case: it may cost no more workers.
const (
	maxAttributed   = 2
	maxCrashes      = 3
	maxUnattributed = 4
	lastCrash       = 5
)

// Crashes records the runs of a task whose workers crashed under them. The zero value has
// none.
type Crashes struct {
	Runs           []int64 // numbers of the runs
	AttributedRuns []int64 // those of them whose crash is attributed to the job
	AloneRuns      []int64 // those of them beside which nothing of other jobs may be the cause
}

// Record adds a run. A run recorded again counts once, so that two leaders may report it.
// implicatesQueue is set if other jobs of the queue are likely to crash workers as well: the
// crash is the first attributed to the task. Further ones tell nothing of others.
func (c *Crashes) Record(run int64, attributed, alone bool) (implicatesQueue bool) {
	if slices.Contains(c.Runs, run) {
		return false
	}
	c.Runs = append(c.Runs, run)
	if attributed {
		c.AttributedRuns = append(c.AttributedRuns, run)
	}
	if alone {
		c.AloneRuns = append(c.AloneRuns, run)
	}
	return attributed && len(c.AttributedRuns) == 1
}

// Count returns the number of crashes.
func (c *Crashes) Count() int { return len(c.Runs) }

// GivenUp reports whether the task is the likely cause of the crashes, so that its job has
// failed.
func (c *Crashes) GivenUp() bool {
	return len(c.AttributedRuns) >= maxAttributed || (len(c.Runs) >= maxCrashes && len(c.AttributedRuns) > 0) ||
		(len(c.Runs) >= maxUnattributed && len(c.AloneRuns) > 0) || len(c.Runs) >= lastCrash
}

func (c *Crashes) clone() Crashes {
	return Crashes{Runs: slices.Clone(c.Runs), AttributedRuns: slices.Clone(c.AttributedRuns), AloneRuns: slices.Clone(c.AloneRuns)}
}
