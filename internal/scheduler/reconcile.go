package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// reconcileReservations places jobs whose reserved capacity has become free, and
// removes reservations that are no longer needed or possible. It stops backfill
// attempts that overran the reservation's time.
func (c *Cell) reconcileReservations(d *Decision) {
	for _, name := range sortedKeys(c.reservations) {
		res := c.reservations[name]
		c.placeReserved(res, d)
		j, ready := c.readyJobs[name]
		switch {
		case c.reservations[name] != res: // consumed by placeReserved
		case !ready, c.borrows(j), !c.reservedWorkersUsable(res):
			c.removeReservation(name)
		case c.now < res.availableAt:
			c.refreshReservation(j, res)
		case c.stopOverrunBackfill(res, d):
			res.expiresAt = c.now + preemptionGraceMs
		case c.now >= res.expiresAt:
			c.postponeReservation(j, res)
		}
	}
}

// refreshReservation moves the reservation's time forward if its workers are
// expected to be free sooner.
func (c *Cell) refreshReservation(j *job, res *reservation) {
	if c.now-res.refreshedAt < reservationRefreshMs {
		return
	}
	res.refreshedAt = c.now
	due, ok := c.reservationAvailableAt(res)
	if !ok {
		c.replaceReservation(j)
		return
	}
	if due < res.availableAt {
		res.availableAt, res.expiresAt = due, due+preemptionGraceMs
	}
}

// postponeReservation sets a later time for a reservation that has expired. It
// keeps the workers, so that capacity accumulates there however long their
// attempts overrun.
func (c *Cell) postponeReservation(j *job, res *reservation) {
	due, ok := c.reservationAvailableAt(res)
	if !ok || due == c.now {
		c.replaceReservation(j)
		return
	}
	res.availableAt, res.expiresAt, res.refreshedAt = due, due+preemptionGraceMs, c.now
}

// replaceReservation chooses a new time and new workers. The reservation ends if
// the job is not expected to fit at any time.
func (c *Cell) replaceReservation(j *job) {
	c.removeReservation(j.name)
	c.reserve(j, j.nextPlacementSize())
}

// reservationAvailableAt returns when all workers of the reservation are expected
// to have its amounts free; false: one of them never has.
func (c *Cell) reservationAvailableAt(res *reservation) (int64, bool) {
	due := c.now
	request := c.newRequest(c.jobs[res.job])
	for name, amount := range res.amounts {
		w := c.workers[name]
		others, _ := c.reservedForOthers(request, w)
		at, ok := w.earliestFree(c.now, amount.Plus(others))
		if !ok {
			return 0, false
		}
		due = max(due, at)
	}
	return due, true
}

// earliestFree returns when the worker is expected to have the amount free;
// false: never.
func (w *Worker) earliestFree(now int64, amount resources.Amount) (int64, bool) {
	if amount.FitsIn(w.Free) {
		return now, true
	}
	ends := make([]int64, 0, len(w.attempts))
	for _, a := range w.attempts {
		if end := a.expectedEnd(now); end < farFuture {
			ends = append(ends, end)
		}
	}
	slices.Sort(ends)
	for _, end := range ends {
		if amount.FitsIn(w.expectedFreeAt(now, end)) {
			return end, true
		}
	}
	return 0, false
}

// placeReserved places tasks of a reservation whose time has come, before any
// other job is served.
func (c *Cell) placeReserved(res *reservation, d *Decision) {
	for c.now >= res.availableAt && c.reservations[res.job] == res {
		j, ready := c.readyJobs[res.job]
		if !ready || c.borrows(j) || !c.placeNow(j, false, d) {
			return
		}
	}
}

func (c *Cell) reservedWorkersUsable(res *reservation) bool {
	for name := range res.amounts {
		if w, ok := c.workers[name]; !ok || !w.usable() {
			return false
		}
	}
	return true
}

func (c *Cell) stopOverrunBackfill(res *reservation, d *Decision) bool {
	stopped := false
	for _, name := range sortedKeys(res.amounts) {
		w := c.workers[name]
		for _, id := range sortedKeys(w.attempts) {
			a := w.attempts[id]
			if a.backfill && !a.stopping && !a.nonIdempotent && a.job != res.job {
				c.stopAttempt(a, d)
				stopped = true
			}
		}
	}
	return stopped
}

// stopAttempt proposes to stop a live attempt and marks it as stopping.
func (c *Cell) stopAttempt(a *liveAttempt, d *Decision) {
	c.preemptible.add(a, -1)
	a.stopping = true
	d.Stop = append(d.Stop, a.id)
	j := c.jobs[a.job]
	t := j.tasks[a.index]
	j.countRunning(t.state, -1)
	t.state = apiv1.TaskState_TASK_STATE_STOPPING
}
