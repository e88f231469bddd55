package scheduler

import (
	"cmp"
	"slices"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// reserve keeps room for n tasks of a job at the earliest time at which they
// are expected to fit, if that time can be foretold.
func (c *Cell) reserve(j *job, n int) {
	if _, kept := c.reservations[j.name]; kept || !c.giveWay(j) {
		return
	}
	c.scans++
	due, ok := c.shadowTime(j, n)
	if !ok {
		return
	}
	slots := c.slotsAt(j, n, due)
	c.keep(&reservation{
		job:   j.name,
		due:   due,
		last:  due + preemptedMs,
		made:  c.now,
		class: j.class(),
		slots: slots,
	})
}

// giveWay makes one more reservation possible: beyond the limit, that of the
// job that has waited least ends if j has waited longer.
func (c *Cell) giveWay(j *job) bool {
	if len(c.reservations) < maxReservations {
		return true
	}
	var youngest *job
	for name, kept := range c.reservations {
		other := c.jobs[name]
		if kept.due <= c.now {
			continue // its room is being made
		}
		if youngest == nil || compareAge(other, youngest) > 0 {
			youngest = other
		}
	}
	if youngest == nil || compareAge(youngest, j) <= 0 {
		return false
	}
	c.release(youngest.name)
	return true
}

// compareAge puts first the job that has waited longer.
func compareAge(a, b *job) int {
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.name, b.name))
}

// shadowTime returns when n tasks of the job are expected to fit.
func (c *Cell) shadowTime(j *job, n int) (int64, bool) {
	ends := []int64{c.now}
	for _, w := range c.workers {
		for _, r := range w.live {
			if end := r.end(c.now); w.usable() && end < never {
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
	held := 0
	for _, w := range c.workers {
		if w.usable() {
			held += c.unreservedAt(j, w, at).FitCount(j.amount, n)
		}
		if held >= n {
			return true
		}
	}
	return false
}

// unreservedAt returns what the worker is expected to have for the job.
func (c *Cell) unreservedAt(j *job, w *Worker, at int64) resources.Amount {
	others, _ := c.othersReserved(c.request(j), w)
	return w.freeAt(c.now, at).Minus(others)
}

// slotsAt chooses the workers that hold most tasks, by name where equal.
func (c *Cell) slotsAt(j *job, n int, at int64) map[string]resources.Amount {
	var all []slot
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		if !w.usable() {
			continue
		}
		if held := c.unreservedAt(j, w, at).FitCount(j.amount, n); held > 0 {
			all = append(all, slot{worker: w, tasks: held})
		}
	}
	slots := make(map[string]resources.Amount)
	for _, s := range take(all, n) {
		slots[s.worker.Name] = j.amount.Times(int64(s.tasks))
	}
	return slots
}
