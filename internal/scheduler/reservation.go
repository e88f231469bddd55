package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const (
	// maxReservations limits the reservations. At the limit, a job that has waited
	// longer replaces another's. Those made by preemption are not limited.
	maxReservations = 4
	// preemptionGraceMs is how long attempts may take to free reserved capacity,
	// from availableAt or from the stop of overrun backfill. Then the reservation
	// is postponed or replaced.
	preemptionGraceMs = 30 * 1000
	// reservationRefreshMs is the time between checks whether a reservation's
	// capacity will be free sooner than expected, or never, and between a job's
	// attempts to reserve.
	reservationRefreshMs = 10 * 1000
	// maxSearches bounds the searches for victims or for a reservation's time in
	// one round. Further jobs are retried after searchRetryMs.
	maxSearches   = 8
	searchRetryMs = 100
)

// reservation holds capacity on workers for a job that does not fit yet.
type reservation struct {
	job         string
	availableAt int64 // Unix milliseconds when the capacity is expected to be free
	expiresAt   int64 // Unix milliseconds when it is postponed or replaced if still unfilled
	refreshedAt int64 // Unix milliseconds when availableAt was last checked
	class       apiv1.Class
	amounts     map[string]resources.Amount // by worker name
}

// reservationDelayMs returns how long a job waits before capacity is reserved for
// it, in milliseconds.
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

// reservationsAllow reports whether a worker whose free capacity fits the request
// may take it, considering capacity reserved for other jobs. backfill is true if
// the request uses reserved capacity that it is expected to free in time.
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

// reservedForOthers returns the capacity reserved on the worker for other jobs,
// and the earliest availableAt of those reservations; farFuture: none. For an
// urgent request, only urgent reservations count.
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

// addReservation adds the reservation and replaces the job's previous one.
func (c *Cell) addReservation(res *reservation) {
	c.removeReservation(res.job)
	c.reservations[res.job] = res
	for name, amount := range res.amounts {
		w := c.workers[name]
		w.reserved = w.reserved.Plus(amount)
	}
}

// removeReservation removes the job's reservation, if it has one.
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

// consumeReservation reduces the job's reservation by a task placed on the worker.
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
