package dispatch

import (
	"math"
	"time"
)

// containment is what a pool knows of a queue whose tasks have crashed workers lately. Jobs
// of the queue run on trial workers meanwhile, so that others are not lost with them.
type containment struct {
	until      time.Time     // it ends then, unless more workers crash
	groupLimit int           // number of contained jobs that may share a trial worker
	successes  int           // runs done since the group limit last changed
	crashAge   time.Duration // of the oldest run that has crashed its worker; 0: none is known
	counted    bool          // a pass has counted the units that wait
	waiting    int           // units that waited for a trial in the last pass, and jobs accepted since
	culprits   int           // units that waited for a further trial, after a crash is attributed to them
	trialLimit int           // of trial workers and crashed ones, while many workers are down

	windowStart    time.Time // of the counts of tested jobs
	tested         int
	testedCulprits int     // of them, likely culprits
	rate           float64 // tested jobs in a second
	culpritRate    float64 // of them, likely culprits
}

const (
	// containmentPeriod is how long after the last crash a queue stays contained. It covers
	// the time in which callers send a job again.
	containmentPeriod = 10 * time.Second
	// maxGroupLimit bounds the jobs that are lost with one that crashes their worker.
	maxGroupLimit = 8
	// successesToGrow is the number of runs done, for each job of a group, after which groups
	// of twice the size are tried.
	successesToGrow = 4
	// probationFactor is the ratio of the age from which a run counts as harmless to the highest
	// age at which one has crashed its worker. Shorter ages than minProbation are not told apart:
	// a crash is noticed later.
	probationFactor = 2
	minProbation    = 300 * time.Millisecond
)

// probation returns the age from which a run of the queue is unlikely to crash its worker.
func (c *containment) probation() time.Duration {
	if c.crashAge == 0 {
		return math.MaxInt64
	}
	return max(minProbation, probationFactor*c.crashAge)
}

// active reports whether the queue is contained. A nil containment is not.
func (c *containment) active(now time.Time) bool { return c != nil && now.Before(c.until) }

// countWaiting counts units that wait for a first or a further trial. On a nil containment it does
// nothing.
func (c *containment) countWaiting(first, further int) {
	if c != nil {
		c.waiting += first
		c.culprits += further
	}
}

// recordCrash records that a task of the queue has crashed a worker: groups become half as
// large, since the share of such tasks is higher than the group size is good for.
func (c *containment) recordCrash(now time.Time) {
	if !now.Before(c.until) {
		*c = containment{groupLimit: 1}
	}
	c.until = now.Add(containmentPeriod)
	c.groupLimit, c.successes = max(1, c.groupLimit/2), 0
}

// recordSuccess records that a run of the queue is done.
func (c *containment) recordSuccess() {
	c.successes++
	if c.successes >= successesToGrow*c.groupLimit {
		c.groupLimit, c.successes = min(2*c.groupLimit, maxGroupLimit), 0
	}
}
