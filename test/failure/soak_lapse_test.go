package failure_test

import (
	"fmt"
	"time"
)

// noticeLapse notes on the ends that are not acknowledged yet that the lease has lapsed since, if it has. It is called before
// the lease is extended. The caller holds the lock.
func (w *soakWorker) noticeLapse() {
	deadline := w.born.Add(time.Duration(w.leaseDeadline) * time.Millisecond)
	if w.clockMs() <= w.leaseDeadline {
		return
	}
	for i := range w.ended {
		if w.ended[i].lapsedAt.IsZero() {
			w.ended[i].lapsedAt = deadline
		}
	}
}

// lapsedBefore reports whether the worker's lease lapsed between the end and the time. The end need not be taken note of then.
func (e soakEndedRun) lapsedBefore(at time.Time) bool {
	return !e.lapsedAt.IsZero() && !e.lapsedAt.After(at)
}

// restartTrace describes a run whose task was started again before its end was acknowledged. The caller holds the lock.
func (c *soakChecker) restartTrace(end soakEndedRun) string {
	at := func(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(c.began).Seconds()) }
	lapse := "the worker's lease has not lapsed since"
	if !end.lapsedAt.IsZero() {
		lapse = "the worker's lease lapsed at " + at(end.lapsedAt)
	}
	return fmt.Sprintf("run %d was done at %s, the last start was at %s; %s", end.run, at(c.doneAt[end.task]), at(c.lastStart[end.task]), lapse)
}
