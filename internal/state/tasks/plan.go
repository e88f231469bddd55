package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Refusal codes of plans.
const (
	RefusedEmpty       = "empty-plan"
	RefusedStaleJob    = "stale-job"    // not configured so, or no longer
	RefusedLiveAttempt = "live-attempt" // the task doesn't wait
	RefusedReleaseTime = "release-time"
	RefusedWorkerGone  = "worker-gone"
	RefusedQuarantined = "quarantined"
	RefusedCapacity    = "capacity"
	RefusedQuota       = "quota"
	RefusedPartialGang = "partial-gang"
	RefusedDuplicateID = "duplicate-id"
)

// trial sums up what the attempts of one plan take.
type trial struct {
	workers map[string]resources.Amount
	teams   map[string]resources.Amount
	tasks   map[string]map[int32]bool
	ids     map[string]bool
}

func refused(code, format string, arguments ...any) *apiv1.PlanVerdict {
	return &apiv1.PlanVerdict{Refusal: code, Detail: fmt.Sprintf(format, arguments...)}
}

// plan places all attempts of the plan, or none. A nil verdict of a check
// means that it passed.
func (t *Table) plan(plan *apiv1.GangPlan) *apiv1.PlanVerdict {
	if len(plan.GetAttempts()) == 0 {
		return refused(RefusedEmpty, "the plan has no attempt")
	}
	sums := &trial{
		workers: make(map[string]resources.Amount),
		teams:   make(map[string]resources.Amount),
		tasks:   make(map[string]map[int32]bool),
		ids:     make(map[string]bool),
	}
	for _, m := range plan.GetAttempts() {
		if verdict := t.check(m, sums); verdict != nil {
			return verdict
		}
	}
	if verdict := t.checkWhole(plan, sums); verdict != nil {
		return verdict
	}
	for _, m := range plan.GetAttempts() {
		t.place(m)
	}
	return &apiv1.PlanVerdict{}
}

func (t *Table) check(m *apiv1.Attempt, sums *trial) *apiv1.PlanVerdict {
	if verdict := t.checkTask(m, sums); verdict != nil {
		return verdict
	}
	if verdict := t.checkWorker(m, sums); verdict != nil {
		return verdict
	}
	return t.checkQuota(m, sums)
}

func (t *Table) checkTask(m *apiv1.Attempt, sums *trial) *apiv1.PlanVerdict {
	j := t.job(m.GetJob())
	index := m.GetIndex()
	if j == nil || index < 0 || int(index) >= j.count() {
		return refused(RefusedStaleJob, "job %q has no task %d", m.GetJob(), index)
	}
	if resources.FromMessage(m.GetResources()) != j.amount() || m.GetGeneration() != j.generation {
		return refused(RefusedStaleJob, "job %q is configured otherwise", m.GetJob())
	}
	k := j.tasks[index]
	if k.live != nil || k.state != apiv1.TaskState_TASK_STATE_WAITING || sums.tasks[m.GetJob()][index] {
		return refused(RefusedLiveAttempt, "task %d of job %q is %s", index, m.GetJob(), k.state)
	}
	if k.started {
		return refused(RefusedLiveAttempt, "task %d of job %q is non-idempotent and may have started", index, m.GetJob())
	}
	if due := max(j.spec.GetReleaseUnixMs(), k.notBefore); due > t.now {
		return refused(RefusedReleaseTime, "task %d of job %q is due at %d", index, m.GetJob(), due)
	}
	if _, used := t.live[m.GetId()]; used || m.GetId() == "" || sums.ids[m.GetId()] {
		return refused(RefusedDuplicateID, "attempt id %q is not new", m.GetId())
	}
	sums.ids[m.GetId()] = true
	if sums.tasks[m.GetJob()] == nil {
		sums.tasks[m.GetJob()] = make(map[int32]bool)
	}
	sums.tasks[m.GetJob()][index] = true
	return nil
}

func (t *Table) checkWorker(m *apiv1.Attempt, sums *trial) *apiv1.PlanVerdict {
	w := t.worker(m.GetWorker())
	if w == nil || !w.alive || w.boot != m.GetBoot() {
		return refused(RefusedWorkerGone, "worker %q has no live boot %q", m.GetWorker(), m.GetBoot())
	}
	if w.quarantined {
		if verdict := t.checkProbe(m, w); verdict != nil {
			return verdict
		}
	}
	taken := sums.workers[w.name].Plus(resources.FromMessage(m.GetResources()))
	if !w.used.Plus(taken).FitsIn(w.capacity) {
		return refused(RefusedCapacity, "worker %q holds %s of %s", w.name, describe(w.used), describe(w.capacity))
	}
	sums.workers[w.name] = taken
	return nil
}

// checkProbe lets one idempotent task that is no gang's try a quarantined
// worker whose probe is due.
func (t *Table) checkProbe(m *apiv1.Attempt, w *worker) *apiv1.PlanVerdict {
	j := t.job(m.GetJob())
	if w.probe != "" || t.now < w.probeAt {
		return refused(RefusedQuarantined, "worker %q is quarantined: %s", w.name, w.reason)
	}
	if j.gang() || j.spec.GetNonIdempotent() {
		return refused(RefusedQuarantined, "job %q can't probe the quarantined worker %q", m.GetJob(), w.name)
	}
	return nil
}

func (t *Table) checkQuota(m *apiv1.Attempt, sums *trial) *apiv1.PlanVerdict {
	j := t.job(m.GetJob())
	if m.GetBorrowed() {
		if !mayBorrow(j.spec) {
			return refused(RefusedQuota, "job %q can't be preempted, so it can't borrow", m.GetJob())
		}
		return nil
	}
	name := j.spec.GetTeam()
	taken := sums.teams[name].Plus(resources.FromMessage(m.GetResources()))
	account := t.team(name)
	if !account.admits(taken) {
		return refused(RefusedQuota, "team %q uses %s of %s", name, describe(account.own), describe(account.quota))
	}
	sums.teams[name] = taken
	return nil
}

// checkWhole refuses a plan that has some tasks of a gang but not all.
func (t *Table) checkWhole(plan *apiv1.GangPlan, sums *trial) *apiv1.PlanVerdict {
	for _, m := range plan.GetAttempts() {
		j := t.job(m.GetJob())
		if j.gang() && len(sums.tasks[m.GetJob()]) != j.count() {
			return refused(RefusedPartialGang, "the plan has %d of %d tasks of gang %q",
				len(sums.tasks[m.GetJob()]), j.count(), m.GetJob())
		}
	}
	return nil
}

// place commits a checked attempt.
func (t *Table) place(m *apiv1.Attempt) {
	j := t.job(m.GetJob())
	w := t.worker(m.GetWorker())
	k := j.tasks[m.GetIndex()]
	a := &attempt{
		id:         m.GetId(),
		job:        m.GetJob(),
		index:      m.GetIndex(),
		worker:     w.name,
		boot:       w.boot,
		amount:     j.amount(),
		generation: j.generation,
		command:    j.spec.GetCommand(),
		team:       j.spec.GetTeam(),
		borrowed:   m.GetBorrowed(),
		once:       j.spec.GetNonIdempotent(),
		placedAt:   t.now,
		state:      apiv1.TaskState_TASK_STATE_PLACED,
	}
	t.live[a.id] = a
	w.live[a.id] = a
	w.used = w.used.Plus(a.amount)
	if w.quarantined {
		w.probe = a.id
		t.dirtyWorker(w.name)
	}
	w.bump()
	t.team(a.team).take(a)
	k.live = a
	k.attempts++
	k.started = a.once
	j.live++
	if j.gang() {
		j.placed = j.count()
	}
	t.setState(j, k, a.state, "")
}
