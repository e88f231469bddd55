package failure_test

import (
	"fmt"
	"math/rand"
	"time"
)

const (
	// soakBudgetCrashes is the number of workers that a task may crash before its starts
	// are counted, and soakBudgetStarts is how many more are too many.
	soakBudgetCrashes = 3
	soakBudgetStarts  = 3
	// soakGiveUpCrashes is the number of workers that have crashed while they ran a task from
	// which its job may be reported as failed, whatever made them crash.
	soakGiveUpCrashes = 2
	soakMaxCrashDelay = 400 * time.Millisecond
	// soakMaxDeadlyShare is the highest share of jobs with a deadly task, in thousandths.
	soakMaxDeadlyShare = 100
)

// soakDeadlyTask is a task that crashes each worker that starts it, and what the workers
// observed of it.
type soakDeadlyTask struct {
	name        string
	delay       time.Duration // from a start to the crash; 0: the start gets no response
	crashes     int           // of workers while they ran it
	lastCounted time.Time     // crash soakBudgetCrashes; zero: there were fewer
	starts      int           // ordered after lastCounted by a leader in touch
	otherStarts int           // ordered after lastCounted by one that was not in touch
	lateStarts  int           // ordered before lastCounted and executed after it
}

// jobIsDeadly records, before the job is submitted, that one of its tasks is deadly.
func (c *soakChecker) jobIsDeadly(id string, index int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := fmt.Sprintf("%s.0.0.%d", id, index)
	c.deadly[name] = &soakDeadlyTask{name: name, delay: delay}
}

// randomCrashDelay returns 0 in a third of the cases.
func randomCrashDelay(r *rand.Rand) time.Duration {
	if r.Intn(3) == 0 {
		return 0
	}
	return randomDuration(r, soakMaxCrashDelay/10, soakMaxCrashDelay)
}

// submitDeadlyTasks makes a small share of the jobs contain a deadly task for some time.
func (c *soakCell) submitDeadlyTasks(r *rand.Rand) {
	c.deadlyShare.Store(1 + r.Int63n(soakMaxDeadlyShare))
	c.wait(randomDuration(r, soakMinFaultTime, soakMaxFaultTime))
	c.deadlyShare.Store(0)
}

// minDuration returns how long the run of a task lasts at least, so that no deadly task is
// done before it crashes its worker, nor is its gang.
func (c *soakChecker) minDuration(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobOf(task)]
	for name := range c.deadly {
		if name == task || (j != nil && j.gang && jobOf(name) == j.id) {
			return 2 * soakMaxCrashDelay
		}
	}
	return 0
}

// crashDelay returns how long after its start the task crashes its worker; it returns
// false if it does not.
func (c *soakChecker) crashDelay(task string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.deadly[task]; d != nil {
		return d.delay, true
	}
	return 0, false
}

// workerCrashed records that a worker has crashed while it ran the task.
func (c *soakChecker) workerCrashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[task]++
	d := c.deadly[task]
	if d == nil {
		return
	}
	if d.crashes++; d.crashes == soakBudgetCrashes {
		d.lastCounted = time.Now()
	}
}

// checkBudget checks a start of the task that was ordered at the given time. The caller
// holds the lock.
func (c *soakChecker) checkBudget(task, worker string, ordered time.Time) {
	d := c.deadly[task]
	switch {
	case d == nil || d.lastCounted.IsZero():
	case ordered.Before(d.lastCounted):
		d.lateStarts++
	case !c.touch.holds(ordered):
		d.otherStarts++
	default:
		if d.starts++; d.starts == soakBudgetStarts {
			c.addViolation("%s started on %s, start %d after %d workers had crashed under it", task, worker, d.starts, soakBudgetCrashes)
		}
	}
}

// mostCrashes returns under which of the job's tasks the most workers have crashed, and how many. The caller holds the lock.
func (c *soakChecker) mostCrashes(id string) (task string, crashes int) {
	for name, count := range c.crashes {
		if jobOf(name) == id && count > crashes {
			task, crashes = name, count
		}
	}
	return task, crashes
}

// mayBeGivenUp reports whether enough workers have crashed under a deadly task of the
// job. The caller holds the lock.
func (c *soakChecker) mayBeGivenUp(id string) bool {
	for task, d := range c.deadly {
		if jobOf(task) == id && d.crashes >= soakGiveUpCrashes {
			return true
		}
	}
	return false
}

// deadlyJobsResolved reports whether each accepted job with a deadly task is reported as
// finished or has broken the bound on starts.
func (c *soakChecker) deadlyJobsResolved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, d := range c.deadly {
		if j := c.jobs[jobOf(task)]; !j.acceptedAt.IsZero() && !j.finished() && d.starts < soakBudgetStarts {
			return false
		}
	}
	return true
}

// deadlySummary returns the counts of crashes and starts for the test's log.
func (c *soakChecker) deadlySummary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashing, crashes, givenUp, harmless, starts, otherStarts, lateStarts := 0, 0, 0, 0, 0, 0, 0
	for task, d := range c.deadly {
		if d.crashes > 0 {
			crashing++
		}
		if c.jobs[jobOf(task)].lastState == "failed" {
			givenUp++
		}
		crashes += d.crashes
		starts += d.starts
		otherStarts += d.otherStarts
		lateStarts += d.lateStarts
	}
	for id, j := range c.jobs {
		if j.lastState == "failed" && !c.hasFailed(id) && !c.mayBeGivenUp(id) {
			harmless++
		}
	}
	return fmt.Sprintf("%d of %d deadly tasks crashed workers, %d times in all, %d jobs given up, and %d jobs without one; starts after crash %d of a task: "+
		"%d by leaders in touch, %d by others, %d executed late",
		crashing, len(c.deadly), crashes, givenUp, harmless, soakBudgetCrashes, starts, otherStarts, lateStarts)
}
