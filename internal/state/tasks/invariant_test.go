package tasks

import (
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// violations describes every invariant that the table violates.
func (t *Table) violations() []string {
	var found []string
	add := func(format string, arguments ...any) { found = append(found, fmt.Sprintf(format, arguments...)) }
	used := make(map[string]resources.Amount)
	own := make(map[string]resources.Amount)
	live := 0
	for _, name := range t.jobs.names() {
		j := t.jobs.all[shardIndex(name)].values[name]
		jobLive := 0
		for _, task := range j.tasks {
			if task.liveAttempt == nil {
				continue
			}
			jobLive++
			a := task.liveAttempt
			used[a.worker] = used[a.worker].Plus(a.amount)
			if !a.borrowed {
				own[a.team] = own[a.team].Plus(a.amount)
			}
			if t.liveAttempts[a.id] != a {
				add("attempt %s is missing from the list of live attempts", a.id)
			}
		}
		live += jobLive
		if jobLive != j.liveCount {
			add("job %s counts %d live attempts, its tasks have %d", name, j.liveCount, jobLive)
		}
		if j.isGang() && !j.allOrNothing() {
			add("gang %s runs only in part", name)
		}
	}
	if live != len(t.liveAttempts) {
		add("%d attempts are listed as live, the tasks have %d", len(t.liveAttempts), live)
	}
	for _, name := range t.workers.names() {
		w := t.workers.all[shardIndex(name)].values[name]
		if w.used != used[name] {
			add("worker %s counts %+v as used, its attempts use %+v", name, w.used, used[name])
		}
		if !w.used.FitsIn(w.capacity) {
			add("worker %s uses %+v of %+v", name, w.used, w.capacity)
		}
		if !w.alive && len(w.liveAttempts) > 0 {
			add("worker %s is gone and has %d live attempts", name, len(w.liveAttempts))
		}
		if w.quarantined != t.quarantined[name] {
			add("worker %s: its quarantine and the list of quarantined workers differ", name)
		}
	}
	for name, account := range t.teams {
		if account.own != own[name] {
			add("team %s counts %+v as its own, its attempts use %+v", name, account.own, own[name])
		}
	}
	return found
}

// allOrNothing reports whether either all unfinished tasks of a gang run or none
// does. A stopping task counts as not running; tasks added after the gang was
// placed do not count.
func (j *job) allOrNothing() bool {
	runs, absent := false, false
	for _, task := range j.tasks {
		switch {
		case int(task.index) >= j.placedCount:
		case task.liveAttempt != nil && task.liveAttempt.stopping():
			absent = true
		case task.liveAttempt != nil:
			runs = true
		case task.state != apiv1.TaskState_TASK_STATE_DONE && j.wanted(task):
			absent = true
		}
	}
	return !runs || !absent
}

// overQuota returns the teams whose own attempts exceed their quota, sorted.
func (t *Table) overQuota() []string {
	var over []string
	for name, account := range t.teams {
		if account.hasQuota && !account.own.FitsIn(account.quota) {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	return over
}
