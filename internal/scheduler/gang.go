package scheduler

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// placeGang places all tasks of a gang, or none.
func (c *Cell) placeGang(j *job, borrowed bool, d *Decision) bool {
	n := len(j.dueTasks)
	if j.spec.GetSpread() != apiv1.Spread_SPREAD_UNSPECIFIED {
		return c.placeGangSpread(j, borrowed, d)
	}
	allocations := c.gangAllocations(j, n)
	if allocations == nil {
		return false
	}
	plan := &apiv1.GangPlan{}
	for _, a := range allocations {
		for range a.tasks {
			plan.Attempts = append(plan.Attempts, c.assume(j, a.worker, borrowed, false))
		}
	}
	d.Plans = append(d.Plans, plan)
	return true
}

// gangAllocations chooses workers of a single failure domain if one fits the
// whole gang, and otherwise of all domains. Among several such domains it takes
// the one that fits the fewest tasks. It returns nil if the gang does not fit.
func (c *Cell) gangAllocations(j *job, n int) []allocation {
	if c.isInfeasible(j.amount) {
		return nil
	}
	var all []allocation
	domains := make(map[string]int)
	request := c.newRequest(j)
	for _, r := range c.sortedRacks {
		if !r.mayFit(j.amount) {
			continue
		}
		for _, w := range r.workers {
			if fit := c.fitCount(request, w, n); fit > 0 {
				all = append(all, allocation{worker: w, tasks: fit})
				domains[r.domain] += fit
			}
		}
	}
	if domain, ok := tightestDomain(domains, n); ok {
		all = slices.DeleteFunc(all, func(a allocation) bool { return a.worker.rack.domain != domain })
		return selectAllocations(all, n)
	}
	fit := 0
	for _, tasks := range domains {
		fit += tasks
	}
	if fit < n {
		return nil
	}
	return selectAllocations(all, n)
}

// fitCount returns how many tasks of the request the worker can take now, at most
// n. It leaves out capacity reserved for other jobs, unless the tasks are expected
// to end before it is needed.
func (c *Cell) fitCount(r *Request, w *Worker, n int) int {
	if !w.usable() {
		return 0
	}
	free := w.Free
	if ok, _ := c.reservationsAllow(r, w); !ok {
		others, _ := c.reservedForOthers(r, w)
		free = free.Minus(others)
	} else if w.reserved != r.Amount.Minus(r.Amount) {
		if others, due := c.reservedForOthers(r, w); r.ExpectedRunMs == 0 || r.Now+r.ExpectedRunMs > due {
			free = free.Minus(others)
		}
	}
	return free.FitCount(r.Amount, n)
}

func tightestDomain(domains map[string]int, n int) (string, bool) {
	chosen, ok := "", false
	for _, domain := range sortedKeys(domains) {
		if fit := domains[domain]; fit >= n && (!ok || fit < domains[chosen]) {
			chosen, ok = domain, true
		}
	}
	return chosen, ok
}

// placeGangSpread places a gang's tasks one by one by their spread policy, and
// undoes all placements if one task does not fit.
func (c *Cell) placeGangSpread(j *job, borrowed bool, d *Decision) bool {
	plan := &apiv1.GangPlan{}
	for len(j.dueTasks) > 0 {
		w, backfill := c.selectWorker(c.newRequest(j))
		if w == nil {
			c.forgetPlan(j, plan)
			return false
		}
		plan.Attempts = append(plan.Attempts, c.assume(j, w, borrowed, backfill))
	}
	d.Plans = append(d.Plans, plan)
	return true
}

// forgetPlan undoes assumed attempts and makes their tasks due again. This does
// not count as freed capacity.
func (c *Cell) forgetPlan(j *job, plan *apiv1.GangPlan) {
	epoch := c.capacityEpoch
	for _, attempt := range plan.Attempts {
		t := j.tasks[attempt.GetIndex()]
		c.removeAttempt(j, t)
		t.state = apiv1.TaskState_TASK_STATE_WAITING
		j.enqueue(attempt.GetIndex(), t)
	}
	c.capacityEpoch = epoch
	c.infeasible.amounts = c.infeasible.amounts[:0] // recorded while the assumed attempts held capacity
	c.updateReady(j)
}
