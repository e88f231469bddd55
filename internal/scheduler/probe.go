package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// probeQuarantined places one task on each quarantined worker whose probe time
// has come.
func (c *Cell) probeQuarantined(d *Decision) {
	for _, name := range sortedKeys(c.quarantined) {
		w := c.quarantined[name]
		if w.ProbeAt == 0 || w.ProbeAt > c.now {
			continue
		}
		if j := c.selectProbeJob(w); j != nil {
			borrowed := !c.team(j.spec.GetTeam()).quotaAllows(j.amount)
			attempt := c.assume(j, w, borrowed, false)
			d.Plans = append(d.Plans, &apiv1.GangPlan{Attempts: []*apiv1.Attempt{attempt}})
		}
	}
}

// selectProbeJob returns a ready job of the least urgent class whose tasks may run
// twice and fit on the worker, including jobs that fit on no other worker; nil:
// none.
func (c *Cell) selectProbeJob(w *Worker) *job {
	var chosen *job
	for _, j := range c.readyJobs {
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
	if j.isGang() || j.spec.GetNonIdempotent() || !j.startable() || !j.amount.FitsIn(w.Free) {
		return false
	}
	return j.mayBorrow() || c.team(j.spec.GetTeam()).quotaAllows(j.amount)
}
