package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const (
	// maxReservations bounds the jobs for which room is kept at one time.
	maxReservations = 4
	// preemptedMs is how long preempted attempts may take to end before the
	// room that they make is no longer kept.
	preemptedMs = 30 * 1000
	// refreshMs is how often a reservation's time is worked out anew: attempts end
	// sooner or later than expected.
	refreshMs = 10 * 1000
	// maxScans bounds the searches for victims or for a reservation's time in
	// one round; a job beyond it tries again after scanPauseMs.
	maxScans    = 8
	scanPauseMs = 100
)

// reservation keeps room on workers for a job that does not fit yet.
type reservation struct {
	job   string
	due   int64 // Unix milliseconds: when the room is expected to be free
	last  int64 // Unix milliseconds: until when it is kept
	made  int64 // Unix milliseconds
	class apiv1.Class
	slots map[string]resources.Amount // by worker
}

// patience returns how long a job waits before room is kept for it.
func patience(class apiv1.Class) int64 {
	switch class {
	case apiv1.Class_CLASS_URGENT:
		return 0
	case apiv1.Class_CLASS_BULK:
		return 60 * 1000
	default:
		return 15 * 1000
	}
}

// admits reports whether a worker with room can give it to the request, in
// view of the room kept for other jobs. The second result is true if the
// request uses such room until its own job is due.
func (c *Cell) admits(r *Request, w *Worker) (ok, backfill bool) {
	if w.reserved == (resources.Amount{}) {
		return true, false
	}
	others, due := c.othersReserved(r, w)
	if others == (resources.Amount{}) {
		return true, false
	}
	if r.Amount.Plus(others).FitsIn(w.Free) {
		return true, false
	}
	backfill = r.ExpectedRunMs > 0 && r.Now+r.ExpectedRunMs <= due
	return backfill, backfill
}

// othersReserved sums up what is kept on the worker for jobs that the request
// must not pass: urgent tasks pass all others' reservations.
func (c *Cell) othersReserved(r *Request, w *Worker) (resources.Amount, int64) {
	var sum resources.Amount
	due := never
	for _, kept := range c.reservations {
		slot, ok := kept.slots[w.Name]
		if !ok || kept.job == r.job.name || r.Class == apiv1.Class_CLASS_URGENT && kept.class != r.Class {
			continue
		}
		sum = sum.Plus(slot)
		due = min(due, kept.due)
	}
	return sum, due
}

// freeAt returns what the worker is expected to have free at the given time.
func (w *Worker) freeAt(now, at int64) resources.Amount {
	free := w.Free
	for _, live := range w.live {
		if live.end(now) <= at {
			free = free.Plus(live.amount)
		}
	}
	return free
}

// keep makes or replaces the job's reservation.
func (c *Cell) keep(kept *reservation) {
	c.release(kept.job)
	c.reservations[kept.job] = kept
	for name, slot := range kept.slots {
		w := c.workers[name]
		w.reserved = w.reserved.Plus(slot)
	}
}

// release ends the job's reservation.
func (c *Cell) release(job string) {
	kept, ok := c.reservations[job]
	if !ok {
		return
	}
	delete(c.reservations, job)
	for name, slot := range kept.slots {
		if w, ok := c.workers[name]; ok {
			w.reserved = w.reserved.Minus(slot)
		}
	}
	c.growth++
}

// consume gives the kept room to a task of the job itself.
func (c *Cell) consume(j *job, w *Worker) {
	kept, ok := c.reservations[j.name]
	if !ok {
		return
	}
	slot, ok := kept.slots[w.Name]
	if !ok {
		return
	}
	left := slot.Minus(j.amount).Max(resources.Amount{})
	w.reserved = w.reserved.Minus(slot).Plus(left)
	kept.slots[w.Name] = left
	if left == (resources.Amount{}) {
		delete(kept.slots, w.Name)
	}
	if len(kept.slots) == 0 {
		c.release(j.name)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
