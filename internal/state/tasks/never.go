package tasks

import (
	"fmt"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// checkNever finds the jobs that can't ever run. It is called when the
// configuration or the set of worker sizes changes, not at each placement.
func (t *Table) checkNever() {
	for _, name := range t.jobs.names() {
		j := t.job(name)
		never := ""
		if !j.removed {
			never = t.neverReason(j)
		}
		if never != j.never {
			j.never = never
			t.changes.job(name)
		}
	}
}

func (t *Table) neverReason(j *job) string {
	if len(t.shapes) == 0 && len(t.capacities) == 0 {
		return "" // nothing is known of the workers yet
	}
	amount := j.amount()
	if !t.fitsSomewhere(amount) {
		return fmt.Sprintf("a task needs %s, more than any worker has", describe(amount))
	}
	if reason := t.neverByQuota(j); reason != "" {
		return reason
	}
	if !j.gang() || len(t.capacities) == 0 {
		return ""
	}
	if held := t.tasksHeld(amount, j.count()); held < j.count() {
		return fmt.Sprintf("the gang has %d tasks, all workers together hold %d", j.count(), held)
	}
	return ""
}

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

// neverByQuota explains a job that can't borrow and needs more than its team's
// quota at once.
func (t *Table) neverByQuota(j *job) string {
	account, ok := t.teams[j.spec.GetTeam()]
	if !ok || !account.limited || mayBorrow(j.spec) {
		return ""
	}
	least := j.amount()
	if j.gang() {
		least = least.Times(int64(j.count()))
	}
	if least.FitsIn(account.quota) {
		return ""
	}
	return fmt.Sprintf("needs %s at once, the quota of team %q is %s",
		describe(least), j.spec.GetTeam(), describe(account.quota))
}

// tasksHeld returns how many such tasks the empty registered workers hold, up
// to the given number.
func (t *Table) tasksHeld(amount resources.Amount, enough int) int {
	held := 0
	for capacity, workers := range t.capacities {
		held += min(enough, capacity.FitCount(amount, enough)*workers)
	}
	return min(held, enough)
}

func describe(a resources.Amount) string {
	const mib = 1 << 20
	return fmt.Sprintf("%d.%03d processors, %d MiB and %d accelerators",
		a.CPU/1000, a.CPU%1000, a.Memory/mib, a.Accelerators)
}
