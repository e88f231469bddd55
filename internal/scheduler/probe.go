package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// probe tries each quarantined worker whose time has come with one task, of
// the least urgent class that has one that may run twice.
func (c *Cell) probe(d *Decision) {
	for _, name := range sortedKeys(c.probes) {
		w := c.probes[name]
		if w.ProbeAt == 0 || w.ProbeAt > c.now {
			continue
		}
		if j := c.probeJob(w); j != nil {
			borrowed := !c.team(j.spec.GetTeam()).admits(j.amount)
			m := c.assume(j, w, borrowed, false)
			d.Plans = append(d.Plans, &apiv1.GangPlan{Attempts: []*apiv1.Attempt{m}})
		}
	}
}

// probeJob chooses from all ready jobs, also those that fit on no other worker.
func (c *Cell) probeJob(w *Worker) *job {
	var chosen *job
	for _, j := range c.ready {
		if !c.canProbe(j, w) {
			continue
		}
		if chosen == nil || j.class() > chosen.class() || j.class() == chosen.class() && j.name < chosen.name {
			chosen = j
		}
	}
	return chosen
}

func (c *Cell) canProbe(j *job, w *Worker) bool {
	if j.gang() || j.spec.GetNonIdempotent() || !j.startable() || !j.amount.FitsIn(w.Free) {
		return false
	}
	return j.mayBorrow() || c.team(j.spec.GetTeam()).admits(j.amount)
}
