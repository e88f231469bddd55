package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// probe tries each quarantined worker whose time has come with one task, of
// the least urgent class that has one that may run twice.
func (c *Cell) probe(byClass map[apiv1.Class][]*job, d *Decision) {
	for _, name := range sortedKeys(c.probes) {
		w := c.probes[name]
		if w.ProbeAt == 0 || w.ProbeAt > c.now {
			continue
		}
		if j := c.probeJob(byClass, w); j != nil {
			borrowed := !c.team(j.spec.GetTeam()).admits(j.amount)
			m := c.assume(j, w, borrowed, false)
			d.Plans = append(d.Plans, &apiv1.GangPlan{Attempts: []*apiv1.Attempt{m}})
		}
	}
}

func (c *Cell) probeJob(byClass map[apiv1.Class][]*job, w *Worker) *job {
	for at := len(classes) - 1; at >= 0; at-- {
		var first *job
		for _, j := range byClass[classes[at]] {
			if c.canProbe(j, w) && (first == nil || j.name < first.name) {
				first = j
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

func (c *Cell) canProbe(j *job, w *Worker) bool {
	if j.gang() || j.spec.GetNonIdempotent() || !j.startable() || !j.amount.FitsIn(w.Free) {
		return false
	}
	return j.mayBorrow() || c.team(j.spec.GetTeam()).admits(j.amount)
}
