package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Schedule runs one scheduling round: it places tasks until nothing more fits or
// limit plans are made. The cell assumes that the decision is carried out; the
// caller commits it and passes the outcome to Update. now is in Unix milliseconds.
func (c *Cell) Schedule(now int64, limit int) *Decision {
	c.now = max(c.now, now)
	d := &Decision{}
	c.searches = 0
	c.enqueueDue()
	c.replaceOutdated(d)
	c.reconcileReservations(d)
	c.probeQuarantined(d)
	byClass := c.jobsToTry()
	for _, class := range classOrder {
		c.placeJobs(byClass[class], limit, d)
	}
	d.NextRoundAt = c.nextDue()
	return d
}

// jobsToTry returns, by effective class, the ready jobs that are not blocked.
func (c *Cell) jobsToTry() map[apiv1.Class][]*job {
	byClass := make(map[apiv1.Class][]*job)
	for _, j := range c.readyJobs {
		retry := j.retryAt != 0 && c.now >= j.retryAt
		if j.blockedEpoch != c.capacityEpoch || retry {
			class := c.effectiveClass(j)
			byClass[class] = append(byClass[class], j)
		}
	}
	return byClass
}

// bulkAgingMs is how long bulk work waits before it is served as normal work, so
// that a steady stream of normal work can't starve it.
const bulkAgingMs = 10 * 60 * 1000

// effectiveClass returns the class in which the job is served.
func (c *Cell) effectiveClass(j *job) apiv1.Class {
	if j.class() == apiv1.Class_CLASS_BULK && c.now-j.dueSince >= bulkAgingMs {
		return apiv1.Class_CLASS_NORMAL
	}
	return j.class()
}

func (c *Cell) placeJobs(jobs []*job, limit int, d *Decision) {
	if len(jobs) == 0 {
		return
	}
	q := c.newQueue(jobs)
	for q.Len() > 0 {
		if len(d.Plans) >= limit {
			d.LimitReached = true
			return
		}
		j := q.teams[0].jobs[0]
		placed := c.readyJobs[j.name] == j && c.place(j, d)
		q.advance(!placed || !j.startable())
	}
}

// place places one task of the job, or a whole gang. It returns false if nothing
// fits, and blocks the job until capacity is added or freed.
func (c *Cell) place(j *job, d *Decision) bool {
	borrowed := c.borrows(j)
	if borrowed && !j.mayBorrow() {
		c.block(j, 0)
		return false
	}
	if c.placeNow(j, borrowed, d) {
		j.blockedEpoch, j.retryAt = 0, 0
		return true
	}
	c.preemptOrReserve(j, borrowed, d)
	return false
}

// borrows reports whether the job's next placement exceeds its team's quota.
func (c *Cell) borrows(j *job) bool {
	return !c.team(j.spec.GetTeam()).quotaAllows(j.amount.Times(int64(j.nextPlacementSize())))
}

func (c *Cell) placeNow(j *job, borrowed bool, d *Decision) bool {
	if j.isGang() {
		return c.placeGang(j, borrowed, d)
	}
	w, backfill := c.selectWorker(c.newRequest(j))
	if w == nil {
		return false
	}
	attempt := c.assume(j, w, borrowed, backfill)
	d.Plans = append(d.Plans, &apiv1.GangPlan{Attempts: []*apiv1.Attempt{attempt}})
	return true
}

// preemptOrReserve makes capacity available for a job that does not fit, by
// preemption or by a reservation. A job that would borrow gets neither.
func (c *Cell) preemptOrReserve(j *job, borrowed bool, d *Decision) {
	if borrowed {
		c.block(j, 0)
		return
	}
	if c.searches >= maxSearches {
		c.block(j, c.now+searchRetryMs)
		return
	}
	if c.preempt(j, j.nextPlacementSize(), d) {
		c.block(j, 0)
		return
	}
	due := max(j.dueSince+reservationDelayMs(j.class()), j.reserveAt)
	if c.now < due {
		c.block(j, due)
		return
	}
	j.reserveAt = c.now + reservationRefreshMs
	c.reserve(j, j.nextPlacementSize())
	c.block(j, 0)
}

func (c *Cell) block(j *job, retryAt int64) {
	j.blockedEpoch = c.capacityEpoch
	j.retryAt = retryAt
}

// nextDue returns when the next round is due even if nothing changes, in Unix
// milliseconds; 0: never.
func (c *Cell) nextDue() int64 {
	next := int64(0)
	sooner := func(at int64) {
		if at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if len(c.timers) > 0 {
		sooner(c.timers[0].at)
	}
	for _, j := range c.readyJobs {
		sooner(j.retryAt)
	}
	for _, res := range c.reservations {
		if c.now < res.availableAt {
			sooner(min(res.availableAt, res.refreshedAt+reservationRefreshMs))
		} else {
			sooner(res.expiresAt)
		}
	}
	for _, w := range c.quarantined {
		sooner(w.ProbeAt)
	}
	return next
}
