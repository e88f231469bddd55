package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// tendReservations places the jobs whose room has become free, and drops the
// reservations that are no longer needed or possible. Where attempts that were
// let in until a reservation's time have overrun it, they stop.
func (c *Cell) tendReservations(d *Decision) {
	for _, name := range sortedKeys(c.reservations) {
		kept := c.reservations[name]
		c.placeReserved(kept, d)
		j, waits := c.ready[name]
		switch {
		case c.reservations[name] != kept: // used up
		case !waits, c.borrows(j), !c.slotsStand(kept):
			c.release(name)
		case c.now < kept.due:
			c.refresh(j, kept)
		case c.stopOverrun(kept, d):
			kept.last = c.now + preemptedMs
		case c.now >= kept.last:
			c.postpone(j, kept)
		}
	}
}

// refresh brings the reservation's time forward if its workers are expected to
// be free sooner.
func (c *Cell) refresh(j *job, kept *reservation) {
	if c.now-kept.made < refreshMs {
		return
	}
	kept.made = c.now
	due, ok := c.slotsDue(kept)
	if !ok {
		c.renewReservation(j)
		return
	}
	if due < kept.due {
		kept.due, kept.last = due, due+preemptedMs
	}
}

// postpone gives a reservation whose time has passed a later one. It keeps its
// workers, so that their room adds up however long their attempts overrun.
func (c *Cell) postpone(j *job, kept *reservation) {
	due, ok := c.slotsDue(kept)
	if !ok || due == c.now {
		c.renewReservation(j)
		return
	}
	kept.due, kept.last, kept.made = due, due+preemptedMs, c.now
}

// renewReservation chooses time and workers anew. The reservation ends if the
// job is not expected to fit at any time.
func (c *Cell) renewReservation(j *job) {
	c.release(j.name)
	c.reserve(j, j.next())
}

// slotsDue returns when the reservation's workers are expected to have its
// room free; false: one of them never.
func (c *Cell) slotsDue(kept *reservation) (int64, bool) {
	due := c.now
	request := c.request(c.jobs[kept.job])
	for name, slot := range kept.slots {
		w := c.workers[name]
		others, _ := c.othersReserved(request, w)
		at, ok := w.freeFrom(c.now, slot.Plus(others))
		if !ok {
			return 0, false
		}
		due = max(due, at)
	}
	return due, true
}

// freeFrom returns when the worker is expected to have the amount free.
func (w *Worker) freeFrom(now int64, amount resources.Amount) (int64, bool) {
	if amount.FitsIn(w.Free) {
		return now, true
	}
	ends := make([]int64, 0, len(w.live))
	for _, r := range w.live {
		if end := r.end(now); end < never {
			ends = append(ends, end)
		}
	}
	slices.Sort(ends)
	for _, end := range ends {
		if amount.FitsIn(w.freeAt(now, end)) {
			return end, true
		}
	}
	return 0, false
}

// placeReserved places tasks of the reservation's job before any other job is
// served.
func (c *Cell) placeReserved(kept *reservation, d *Decision) {
	for c.now >= kept.due && c.reservations[kept.job] == kept {
		j, waits := c.ready[kept.job]
		if !waits || c.borrows(j) || !c.placeNow(j, false, d) {
			return
		}
	}
}

func (c *Cell) slotsStand(kept *reservation) bool {
	for name := range kept.slots {
		if w, ok := c.workers[name]; !ok || !w.usable() {
			return false
		}
	}
	return true
}

func (c *Cell) stopOverrun(kept *reservation, d *Decision) bool {
	any := false
	for _, name := range sortedKeys(kept.slots) {
		w := c.workers[name]
		for _, id := range sortedKeys(w.live) {
			r := w.live[id]
			if r.backfill && !r.stopping && !r.once && r.job != kept.job {
				c.stopLive(r, d)
				any = true
			}
		}
	}
	return any
}

// stopLive proposes to stop a live attempt.
func (c *Cell) stopLive(r *running, d *Decision) {
	c.victims.count(r, -1)
	r.stopping = true
	d.Stop = append(d.Stop, r.id)
	j := c.jobs[r.job]
	k := j.tasks[r.index]
	j.count(k.state, -1)
	k.state = apiv1.TaskState_TASK_STATE_STOPPING
}
