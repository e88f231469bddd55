package dispatch

import (
	"slices"
	"time"
)

// probableCrashes are the workers of the last moments at whose addresses nothing listens any
// more, in the order of time. That they have crashed is known only once their next incarnations
// show up, and by then tasks that crash their workers could have taken all others along.
//
// Load pattern: a queue whose tasks crash workers right after their start, faster than these come
// back. Links that reset connections also end many workers' connections at a time, but without
// regard to when their runs were started.
type probableCrashes []probableCrash

// probableCrash is the probable crash of one worker.
type probableCrash struct {
	at     time.Time
	queues []string // of the runs that had just been started there
}

const (
	// probableCrashWindow is how long a probable crash is remembered: about as long as a worker
	// takes to come back.
	probableCrashWindow = 3 * time.Second
	// minProbableCrashes implicate a queue if it is among those of at least three quarters of all.
	minProbableCrashes    = 4
	implicatedNumerator   = 3
	implicatedDenominator = 4
)

// add adds a probable crash, and forgets those of long ago.
func (c *probableCrashes) add(crash probableCrash) {
	*c = slices.DeleteFunc(*c, func(earlier probableCrash) bool { return crash.at.Sub(earlier.at) > probableCrashWindow })
	*c = append(*c, crash)
}

// implicated returns the queues whose tasks have probably caused the crashes.
func (c probableCrashes) implicated() []string {
	counts := make(map[string]int)
	for _, crash := range c {
		for _, queue := range crash.queues {
			counts[queue]++
		}
	}
	var queues []string
	for queue, count := range counts {
		if count >= minProbableCrashes && implicatedDenominator*count >= implicatedNumerator*len(c) {
			queues = append(queues, queue)
		}
	}
	slices.Sort(queues)
	return queues
}

// handleRefusedConnection handles that a call found no listener at the worker's address. It has
// probably crashed, but may run on behind a link that resets connections. Until that is known
// nothing is counted under its tasks, and none of them starts elsewhere. Queues that are likely to
// crash more workers are contained. The caller holds the lock.
func (p *pool) handleRefusedConnection(w *worker, now time.Time) {
	w.failedCalls++
	if w.refusedAt.IsZero() {
		w.refusedAt = now
	}
	if w.failedCalls < noListenerCallLimit || w.suspected || !w.synced || !w.crashed(lossEnded) {
		return
	}
	w.suspected = true
	c := p.crashUnder(w, w.possibleRuns(), w.refusedAt)
	p.probableCrashes.add(probableCrash{at: w.refusedAt, queues: startedQueues(c.suspects, w.refusedAt)})
	p.d.Logger.Warn("worker probably crashed", "worker", w.id, "born", w.record.GetBornUnixMs(), "runs", len(c.suspects), "attributable", c.attributed)
	for _, queue := range p.probableCrashes.implicated() {
		p.containQueue(queue, now)
	}
	if c.attributed && c.suspects[0].task != nil {
		p.containQueue(c.suspects[0].task.unit.job.queue.GetName(), now)
		p.recordCrashAge(c.suspects[0], c)
	}
}

// startedQueues returns the queues of the runs that had been started shortly before the time.
func startedQueues(runs []*run, at time.Time) []string {
	var queues []string
	for _, r := range runs {
		if r.task == nil || r.age(at) > minProbation {
			continue
		}
		if queue := r.task.unit.job.queue.GetName(); !slices.Contains(queues, queue) {
			queues = append(queues, queue)
		}
	}
	return queues
}
