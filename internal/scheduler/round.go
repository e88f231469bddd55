package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Schedule decides placements until nothing more fits or limit plans are made.
// The cell assumes that they are carried out: the caller commits them and
// hands back, by Update, what came of it. now is in Unix milliseconds.
func (c *Cell) Schedule(now int64, limit int) *Decision {
	c.now = max(c.now, now)
	d := &Decision{}
	c.scans = 0
	c.wakeDue()
	c.roll(d)
	c.tendReservations(d)
	c.probe(d)
	byClass := c.candidates()
	for _, class := range classes {
		c.serve(byClass[class], limit, d)
	}
	d.NextRoundAt = c.nextDue()
	return d
}

// candidates returns the ready jobs that may be tried now, by class.
func (c *Cell) candidates() map[apiv1.Class][]*job {
	byClass := make(map[apiv1.Class][]*job)
	for _, j := range c.ready {
		retry := j.retryAt != 0 && c.now >= j.retryAt
		if j.blocked != c.growth || retry {
			class := c.served(j)
			byClass[class] = append(byClass[class], j)
		}
	}
	return byClass
}

// bulkPatienceMs is how long bulk work waits before it is served among normal
// work, so that a steady stream of normal work can't hold it up for good.
const bulkPatienceMs = 10 * 60 * 1000

// served returns the class among which the job is served.
func (c *Cell) served(j *job) apiv1.Class {
	if j.class() == apiv1.Class_CLASS_BULK && c.now-j.since >= bulkPatienceMs {
		return apiv1.Class_CLASS_NORMAL
	}
	return j.class()
}

func (c *Cell) serve(jobs []*job, limit int, d *Decision) {
	if len(jobs) == 0 {
		return
	}
	q := c.queueOf(jobs)
	for q.Len() > 0 {
		if len(d.Plans) >= limit {
			d.LimitReached = true
			return
		}
		j := q.turns[0].jobs[0]
		placed := c.ready[j.name] == j && c.place(j, d)
		q.again(!placed || !j.startable())
	}
}

// place places one task of the job, or a whole gang. If none fits, the job is
// set aside until room is gained.
func (c *Cell) place(j *job, d *Decision) bool {
	borrowed := c.borrows(j)
	if borrowed && !j.mayBorrow() {
		c.block(j, 0)
		return false
	}
	if c.placeNow(j, borrowed, d) {
		j.blocked, j.retryAt = 0, 0
		return true
	}
	c.wait(j, borrowed, d)
	return false
}

// borrows reports whether the job's next placement exceeds its team's quota.
func (c *Cell) borrows(j *job) bool {
	return !c.team(j.spec.GetTeam()).admits(j.amount.Times(int64(j.next())))
}

func (c *Cell) placeNow(j *job, borrowed bool, d *Decision) bool {
	if j.gang() {
		return c.placeGang(j, borrowed, d)
	}
	w, backfill := c.pick(c.request(j))
	if w == nil {
		return false
	}
	m := c.assume(j, w, borrowed, backfill)
	d.Plans = append(d.Plans, &apiv1.GangPlan{Attempts: []*apiv1.Attempt{m}})
	return true
}

// wait makes room for a job that does not fit, by preemption or by keeping
// room as it becomes free. A job that would borrow gets neither.
func (c *Cell) wait(j *job, borrowed bool, d *Decision) {
	if borrowed {
		c.block(j, 0)
		return
	}
	if c.scans >= maxScans {
		c.block(j, c.now+scanPauseMs)
		return
	}
	if c.preempt(j, j.next(), d) {
		c.block(j, 0)
		return
	}
	due := max(j.since+patience(j.class()), j.reserveAt)
	if c.now < due {
		c.block(j, due)
		return
	}
	j.reserveAt = c.now + refreshMs
	c.reserve(j, j.next())
	c.block(j, 0)
}

func (c *Cell) block(j *job, retryAt int64) {
	j.blocked = c.growth
	j.retryAt = retryAt
}

// nextDue returns when the next round is due though nothing changes.
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
	for _, j := range c.ready {
		sooner(j.retryAt)
	}
	for _, kept := range c.reservations {
		if c.now < kept.due {
			sooner(min(kept.due, kept.made+refreshMs))
		} else {
			sooner(kept.last)
		}
	}
	for _, w := range c.probes {
		sooner(w.ProbeAt)
	}
	return next
}
