package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const (
	// maxReservations bounds the jobs for which room is kept at one time.
	maxReservations = 4
	// preemptionGraceMs is how long preempted attempts may take to end before the
	// room that they make is no longer kept.
	preemptionGraceMs = 30 * 1000
	// reservationRefreshMs is how often a reservation's time is worked out anew: attempts end
	// sooner or later than expected.
	reservationRefreshMs = 10 * 1000
	// maxSearches bounds the searches for victims or for a reservation's time in
	// one round; a job beyond it tries again after scanPauseMs.
	maxSearches   = 8
	searchRetryMs = 100
)

// reservation keeps room on workers for a job that does not fit yet.
type reservation struct {
	job         string
	availableAt int64 // Unix milliseconds: when the room is expected to be free
	expiresAt   int64 // Unix milliseconds: until when it is kept
	refreshedAt int64 // Unix milliseconds
	class       apiv1.Class
	amounts     map[string]resources.Amount // by worker
}

// reservationDelayMs returns how long a job waits before room is kept for it.
func reservationDelayMs(class apiv1.Class) int64 {
	switch class {
	case apiv1.Class_CLASS_URGENT:
		return 0
	case apiv1.Class_CLASS_BULK:
		return 60 * 1000
	default:
		return 15 * 1000
	}
}

// reservationsAllow reports whether a worker with room can give it to the request, in
// view of the room kept for other jobs. The second result is true if the
// request uses such room until its own job is due.
func (c *Cell) reservationsAllow(r *Request, w *Worker) (ok, backfill bool) {
	if w.reserved == (resources.Amount{}) {
		return true, false
	}
	others, due := c.reservedForOthers(r, w)
	if others == (resources.Amount{}) {
		return true, false
	}
	if r.Amount.Plus(others).FitsIn(w.Free) {
		return true, false
	}
	backfill = r.ExpectedRunMs > 0 && r.Now+r.ExpectedRunMs <= due
	return backfill, backfill
}

// reservedForOthers sums up what is kept on the worker for jobs that the request
// must not pass: urgent tasks pass all others' reservations.
func (c *Cell) reservedForOthers(r *Request, w *Worker) (resources.Amount, int64) {
	var sum resources.Amount
	due := farFuture
	for _, res := range c.reservations {
		amount, ok := res.amounts[w.Name]
		if !ok || res.job == r.job.name || r.Class == apiv1.Class_CLASS_URGENT && res.class != r.Class {
			continue
		}
		sum = sum.Plus(amount)
		due = min(due, res.availableAt)
	}
	return sum, due
}

// expectedFreeAt returns what the worker is expected to have free at the given time.
func (w *Worker) expectedFreeAt(now, at int64) resources.Amount {
	free := w.Free
	for _, live := range w.attempts {
		if live.expectedEnd(now) <= at {
			free = free.Plus(live.amount)
		}
	}
	return free
}

// addReservation makes or replaces the job's reservation.
func (c *Cell) addReservation(res *reservation) {
	c.removeReservation(res.job)
	c.reservations[res.job] = res
	for name, amount := range res.amounts {
		w := c.workers[name]
		w.reserved = w.reserved.Plus(amount)
	}
}

// removeReservation ends the job's reservation.
func (c *Cell) removeReservation(job string) {
	res, ok := c.reservations[job]
	if !ok {
		return
	}
	delete(c.reservations, job)
	for name, amount := range res.amounts {
		if w, ok := c.workers[name]; ok {
			w.reserved = w.reserved.Minus(amount)
		}
	}
	c.capacityEpoch++
}

// consumeReservation gives the kept room to a task of the job itself.
func (c *Cell) consumeReservation(j *job, w *Worker) {
	res, ok := c.reservations[j.name]
	if !ok {
		return
	}
	amount, ok := res.amounts[w.Name]
	if !ok {
		return
	}
	left := amount.Minus(j.amount).Max(resources.Amount{})
	w.reserved = w.reserved.Minus(amount).Plus(left)
	res.amounts[w.Name] = left
	if left == (resources.Amount{}) {
		delete(res.amounts, w.Name)
	}
	if len(res.amounts) == 0 {
		c.removeReservation(j.name)
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
