package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// placeGang places all tasks of a gang, or none.
func (c *Cell) placeGang(j *job, borrowed bool, d *Decision) bool {
	n := len(j.waiting)
	if j.spec.GetSpread() != apiv1.Spread_SPREAD_UNSPECIFIED {
		return c.placeGangSpread(j, borrowed, d)
	}
	slots := c.gangSlots(j, n)
	if slots == nil {
		return false
	}
	plan := &apiv1.GangPlan{}
	for _, s := range slots {
		for range s.tasks {
			plan.Attempts = append(plan.Attempts, c.assume(j, s.worker, borrowed, false))
		}
	}
	d.Plans = append(d.Plans, plan)
	return true
}

// gangSlots chooses workers of one failure domain, if one has room for the
// whole gang, else of all. Of several domains the one with the least room wins.
func (c *Cell) gangSlots(j *job, n int) []slot {
	if c.isTooLarge(j.amount) {
		return nil
	}
	var all []slot
	domains := make(map[string]int)
	request := c.request(j)
	for _, r := range c.order {
		if !r.may(j.amount) {
			continue
		}
		for _, w := range r.workers {
			if held := c.holds(request, w, n); held > 0 {
				all = append(all, slot{worker: w, tasks: held})
				domains[r.domain] += held
			}
		}
	}
	if domain, ok := smallest(domains, n); ok {
		all = slices.DeleteFunc(all, func(s slot) bool { return s.worker.rack.domain != domain })
		return take(all, n)
	}
	held := 0
	for _, tasks := range domains {
		held += tasks
	}
	if held < n {
		return nil
	}
	return take(all, n)
}

// holds returns how many tasks the worker can take now, up to n.
func (c *Cell) holds(r *Request, w *Worker, n int) int {
	if !w.usable() {
		return 0
	}
	free := w.Free
	if ok, _ := c.admits(r, w); !ok {
		others, _ := c.othersReserved(r, w)
		free = free.Minus(others)
	} else if w.reserved != r.Amount.Minus(r.Amount) {
		if others, due := c.othersReserved(r, w); r.ExpectedRunMs == 0 || r.Now+r.ExpectedRunMs > due {
			free = free.Minus(others)
		}
	}
	return free.FitCount(r.Amount, n)
}

func smallest(domains map[string]int, n int) (string, bool) {
	chosen, ok := "", false
	for _, domain := range sortedKeys(domains) {
		if held := domains[domain]; held >= n && (!ok || held < domains[chosen]) {
			chosen, ok = domain, true
		}
	}
	return chosen, ok
}

// placeGangSpread spreads a gang's tasks, one after the other, and takes all
// back if one does not fit.
func (c *Cell) placeGangSpread(j *job, borrowed bool, d *Decision) bool {
	plan := &apiv1.GangPlan{}
	for len(j.waiting) > 0 {
		w, backfill := c.pick(c.request(j))
		if w == nil {
			c.takeBack(j, plan)
			return false
		}
		plan.Attempts = append(plan.Attempts, c.assume(j, w, borrowed, backfill))
	}
	d.Plans = append(d.Plans, plan)
	return true
}

// takeBack undoes assumed attempts.
func (c *Cell) takeBack(j *job, plan *apiv1.GangPlan) {
	growth := c.growth
	for _, m := range plan.Attempts {
		k := j.tasks[m.GetIndex()]
		c.removeLive(j, k)
		k.state = apiv1.TaskState_TASK_STATE_WAITING
		j.enqueue(m.GetIndex(), k)
	}
	c.growth = growth
	c.large.amounts = c.large.amounts[:0] // noted while the gang's tasks held room
	c.settleReady(j)
}
