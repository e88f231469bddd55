package scheduler

import (
	"cmp"
	"slices"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// reserve reserves capacity for n tasks of a job at the earliest time at which
// they are expected to fit, if there is one.
func (c *Cell) reserve(j *job, n int) {
	if _, exists := c.reservations[j.name]; exists || !c.admitReservation(j) {
		return
	}
	c.searches++
	due, ok := c.shadowTime(j, n)
	if !ok {
		return
	}
	amounts := c.reservationAmounts(j, n, due)
	c.addReservation(&reservation{
		job:         j.name,
		availableAt: due,
		expiresAt:   due + preemptionGraceMs,
		refreshedAt: c.now,
		class:       j.class(),
		amounts:     amounts,
	})
}

// admitReservation reports whether a reservation can be added for the job. At the
// limit it removes that of the job that has waited least, if j has waited longer.
func (c *Cell) admitReservation(j *job) bool {
	if len(c.reservations) < maxReservations {
		return true
	}
	var youngest *job
	for name, res := range c.reservations {
		other := c.jobs[name]
		if res.availableAt <= c.now {
			continue // its victims are stopping
		}
		if youngest == nil || compareWaitTime(other, youngest) > 0 {
			youngest = other
		}
	}
	if youngest == nil || compareWaitTime(youngest, j) <= 0 {
		return false
	}
	c.removeReservation(youngest.name)
	return true
}

// compareWaitTime orders the job that has waited longer first.
func compareWaitTime(a, b *job) int {
	return cmp.Or(cmp.Compare(a.dueSince, b.dueSince), cmp.Compare(a.name, b.name))
}

// shadowTime returns the earliest time at which n tasks of the job are expected to
// fit; false: none.
func (c *Cell) shadowTime(j *job, n int) (int64, bool) {
	ends := []int64{c.now}
	for _, w := range c.workers {
		for _, a := range w.attempts {
			if end := a.expectedEnd(c.now); w.usable() && end < farFuture {
				ends = append(ends, end)
			}
		}
	}
	slices.Sort(ends)
	ends = slices.Compact(ends)
	at, _ := slices.BinarySearchFunc(ends, true, func(end int64, _ bool) int {
		if c.fitsAt(j, n, end) {
			return 0
		}
		return -1
	})
	if at == len(ends) {
		return 0, false
	}
	return ends[at], true
}

func (c *Cell) fitsAt(j *job, n int, at int64) bool {
	fit := 0
	for _, w := range c.workers {
		if w.usable() {
			fit += c.expectedAvailableAt(j, w, at).FitCount(j.amount, n)
		}
		if fit >= n {
			return true
		}
	}
	return false
}

// expectedAvailableAt returns what the worker is expected to have free for the job
// at the given time.
func (c *Cell) expectedAvailableAt(j *job, w *Worker, at int64) resources.Amount {
	others, _ := c.reservedForOthers(c.newRequest(j), w)
	return w.expectedFreeAt(c.now, at).Minus(others)
}

// reservationAmounts returns the amounts to reserve for n tasks, by worker name. It
// prefers workers that fit the most tasks, in order of their names where equal.
func (c *Cell) reservationAmounts(j *job, n int, at int64) map[string]resources.Amount {
	var all []allocation
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		if !w.usable() {
			continue
		}
		if fit := c.expectedAvailableAt(j, w, at).FitCount(j.amount, n); fit > 0 {
			all = append(all, allocation{worker: w, tasks: fit})
		}
	}
	amounts := make(map[string]resources.Amount)
	for _, a := range selectAllocations(all, n) {
		amounts[a.worker.Name] = j.amount.Times(int64(a.tasks))
	}
	return amounts
}
