package tasks

import (
	"fmt"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// updateNeverRunnable finds the jobs that can never run. It is called when the
// configuration or the set of worker capacities changes, not at each placement.
func (t *Table) updateNeverRunnable() {
	for _, name := range t.jobs.names() {
		j := t.lockJob(name)
		reason := ""
		if !j.removed {
			reason = t.neverRunnableReason(j)
		}
		if reason != j.neverRunnable {
			j.neverRunnable = reason
			t.changes.markJob(name)
		}
	}
}

// neverRunnableReason explains why the job can never run; empty if it can.
func (t *Table) neverRunnableReason(j *job) string {
	if len(t.shapes) == 0 && len(t.capacities) == 0 {
		return "" // no worker capacity is known yet
	}
	amount := j.amount()
	if !t.fitsSomewhere(amount) {
		return fmt.Sprintf("a task needs %s, more than any worker has", formatAmount(amount))
	}
	if reason := t.quotaNeverRunnableReason(j); reason != "" {
		return reason
	}
	if !j.isGang() || len(t.capacities) == 0 {
		return ""
	}
	if fitting := t.fittingTasks(amount, j.count()); fitting < j.count() {
		return fmt.Sprintf("the gang has %d tasks, all workers together hold %d", j.count(), fitting)
	}
	return ""
}

// fitsSomewhere reports whether an empty worker, declared or registered, has the
// capacity for the amount.
func (t *Table) fitsSomewhere(amount resources.Amount) bool {
	for _, shape := range t.shapes {
		if amount.FitsIn(resources.FromMessage(shape.GetResources())) {
			return true
		}
	}
	for capacity := range t.capacities {
		if amount.FitsIn(capacity) {
			return true
		}
	}
	return false
}

// quotaNeverRunnableReason explains that a job that can't borrow needs more than
// its team's quota at once; empty otherwise. A gang needs all its tasks at once.
func (t *Table) quotaNeverRunnableReason(j *job) string {
	account, ok := t.teams[j.spec.GetTeam()]
	if !ok || !account.hasQuota || mayBorrow(j.spec) {
		return ""
	}
	needed := j.amount()
	if j.isGang() {
		needed = needed.Times(int64(j.count()))
	}
	if needed.FitsIn(account.quota) {
		return ""
	}
	return fmt.Sprintf("needs %s at once, the quota of team %q is %s",
		formatAmount(needed), j.spec.GetTeam(), formatAmount(account.quota))
}

// fittingTasks returns how many tasks of the given amount fit on all registered
// workers if they were empty, at most limit.
func (t *Table) fittingTasks(amount resources.Amount, limit int) int {
	fitting := 0
	for capacity, workers := range t.capacities {
		fitting += min(limit, capacity.FitCount(amount, limit)*workers)
	}
	return min(fitting, limit)
}

func formatAmount(a resources.Amount) string {
	const mib = 1 << 20
	return fmt.Sprintf("%d.%03d processors, %d MiB and %d accelerators",
		a.CPU/1000, a.CPU%1000, a.Memory/mib, a.Accelerators)
}
