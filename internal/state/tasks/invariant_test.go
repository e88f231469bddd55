package tasks

import (
	"fmt"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// violations lists every invariant that the table breaks.
func (t *Table) violations() []string {
	var found []string
	add := func(format string, arguments ...any) { found = append(found, fmt.Sprintf(format, arguments...)) }
	used := make(map[string]resources.Amount)
	own := make(map[string]resources.Amount)
	live := 0
	for _, name := range t.jobs.names() {
		j := t.jobs.all[shardIndex(name)].values[name]
		jobLive := 0
		for _, k := range j.tasks {
			if k.liveAttempt == nil {
				continue
			}
			jobLive++
			a := k.liveAttempt
			used[a.worker] = used[a.worker].Plus(a.amount)
			if !a.borrowed {
				own[a.team] = own[a.team].Plus(a.amount)
			}
			if t.liveAttempts[a.id] != a {
				add("attempt %s is not listed as live", a.id)
			}
		}
		live += jobLive
		if jobLive != j.liveCount {
			add("job %s counts %d live attempts, has %d", name, j.liveCount, jobLive)
		}
		if j.gang() && !j.wholeOrStopping() {
			add("gang %s is neither whole nor absent", name)
		}
	}
	if live != len(t.liveAttempts) {
		add("%d attempts are listed as live, %d are", len(t.liveAttempts), live)
	}
	for _, name := range t.workers.names() {
		w := t.workers.all[shardIndex(name)].values[name]
		if w.used != used[name] {
			add("worker %s counts %+v, holds %+v", name, w.used, used[name])
		}
		if !w.used.FitsIn(w.capacity) {
			add("worker %s holds %+v of %+v", name, w.used, w.capacity)
		}
		if !w.alive && len(w.liveAttempts) > 0 {
			add("worker %s is gone and holds %d attempts", name, len(w.liveAttempts))
		}
		if w.quarantined != t.quarantined[name] {
			add("worker %s: quarantine is listed otherwise", name)
		}
	}
	for name, account := range t.teams {
		if account.own != own[name] {
			add("team %s counts %+v, uses %+v", name, account.own, own[name])
		}
	}
	return found
}

// wholeOrStopping reports whether a gang is whole, absent or on its way out.
func (j *job) wholeOrStopping() bool {
	runs, absent := false, false
	for _, k := range j.tasks {
		switch {
		case int(k.index) >= j.placedCount:
		case k.liveAttempt != nil && k.liveAttempt.stopping():
			absent = true
		case k.liveAttempt != nil:
			runs = true
		case k.state != apiv1.TaskState_TASK_STATE_DONE && j.wanted(k):
			absent = true
		}
	}
	return !runs || !absent
}

// quotas returns the teams whose own use exceeds their quota.
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
