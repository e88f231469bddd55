package tasks

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Refusal codes of apiv1.PlanVerdict.
const (
	RefusedEmpty       = "empty-plan"
	RefusedStaleJob    = "stale-job"    // the job or its task does not exist, or has other resources or another generation
	RefusedLiveAttempt = "live-attempt" // the task is not waiting, or is non-idempotent and may have started
	RefusedReleaseTime = "release-time" // before the job's release time or within the task's backoff
	RefusedWorkerGone  = "worker-gone"  // the worker is not alive with this boot
	RefusedQuarantined = "quarantined"  // the worker is quarantined and the attempt can't be its probe
	RefusedCapacity    = "capacity"     // the worker lacks free capacity
	RefusedQuota       = "quota"        // beyond the team's quota, or the job can't borrow
	RefusedPartialGang = "partial-gang" // some tasks of the gang are missing
	RefusedDuplicateID = "duplicate-id" // the attempt id is empty or that of another attempt
)

// planTotals accumulates what the checked attempts of one plan use.
type planTotals struct {
	workers map[string]resources.Amount
	teams   map[string]resources.Amount
	tasks   map[string]map[int32]bool
	ids     map[string]bool
}

func refused(code, format string, arguments ...any) *apiv1.PlanVerdict {
	return &apiv1.PlanVerdict{Refusal: code, Detail: fmt.Sprintf(format, arguments...)}
}

// applyPlan places all attempts of the plan, or none. A check that passes returns
// a nil verdict.
func (t *Table) applyPlan(plan *apiv1.GangPlan) *apiv1.PlanVerdict {
	if len(plan.GetAttempts()) == 0 {
		return refused(RefusedEmpty, "the plan has no attempt")
	}
	totals := &planTotals{
		workers: make(map[string]resources.Amount),
		teams:   make(map[string]resources.Amount),
		tasks:   make(map[string]map[int32]bool),
		ids:     make(map[string]bool),
	}
	for _, m := range plan.GetAttempts() {
		if verdict := t.checkAttempt(m, totals); verdict != nil {
			return verdict
		}
	}
	if verdict := t.checkGangs(plan, totals); verdict != nil {
		return verdict
	}
	for _, m := range plan.GetAttempts() {
		t.placeAttempt(m)
	}
	return &apiv1.PlanVerdict{}
}

func (t *Table) checkAttempt(m *apiv1.Attempt, totals *planTotals) *apiv1.PlanVerdict {
	if verdict := t.checkTask(m, totals); verdict != nil {
		return verdict
	}
	if verdict := t.checkWorker(m, totals); verdict != nil {
		return verdict
	}
	return t.checkQuota(m, totals)
}

// checkTask refuses an attempt whose task can't be placed now or whose id is not
// new. It locks the job.
func (t *Table) checkTask(m *apiv1.Attempt, totals *planTotals) *apiv1.PlanVerdict {
	j := t.lockJob(m.GetJob())
	index := m.GetIndex()
	if j == nil || index < 0 || int(index) >= j.count() {
		return refused(RefusedStaleJob, "job %q has no task %d", m.GetJob(), index)
	}
	if resources.FromMessage(m.GetResources()) != j.amount() || m.GetGeneration() != j.generation {
		return refused(RefusedStaleJob, "job %q is configured otherwise", m.GetJob())
	}
	task := j.tasks[index]
	if task.liveAttempt != nil || task.state != apiv1.TaskState_TASK_STATE_WAITING || totals.tasks[m.GetJob()][index] {
		return refused(RefusedLiveAttempt, "task %d of job %q is %s", index, m.GetJob(), task.state)
	}
	if task.maybeStarted {
		return refused(RefusedLiveAttempt, "task %d of job %q is non-idempotent and may have started", index, m.GetJob())
	}
	if due := max(j.spec.GetReleaseUnixMs(), task.notBefore); due > t.now {
		return refused(RefusedReleaseTime, "task %d of job %q is due at %d", index, m.GetJob(), due)
	}
	if _, used := t.liveAttempts[m.GetId()]; used || m.GetId() == "" || totals.ids[m.GetId()] {
		return refused(RefusedDuplicateID, "attempt id %q is not new", m.GetId())
	}
	totals.ids[m.GetId()] = true
	if totals.tasks[m.GetJob()] == nil {
		totals.tasks[m.GetJob()] = make(map[int32]bool)
	}
	totals.tasks[m.GetJob()][index] = true
	return nil
}

// checkWorker refuses an attempt whose worker is gone, quarantined or lacks
// capacity. It locks the worker.
func (t *Table) checkWorker(m *apiv1.Attempt, totals *planTotals) *apiv1.PlanVerdict {
	w := t.lockWorker(m.GetWorker())
	if w == nil || !w.alive || w.boot != m.GetBoot() {
		return refused(RefusedWorkerGone, "worker %q has no live boot %q", m.GetWorker(), m.GetBoot())
	}
	if w.quarantined {
		if verdict := t.checkProbe(m, w); verdict != nil {
			return verdict
		}
	}
	taken := totals.workers[w.name].Plus(resources.FromMessage(m.GetResources()))
	if !w.used.Plus(taken).FitsIn(w.capacity) {
		return refused(RefusedCapacity, "worker %q holds %s of %s", w.name, formatAmount(w.used), formatAmount(w.capacity))
	}
	totals.workers[w.name] = taken
	return nil
}

// checkProbe allows one attempt at a time on a quarantined worker whose probe is
// due. It must be idempotent and not part of a gang.
func (t *Table) checkProbe(m *apiv1.Attempt, w *worker) *apiv1.PlanVerdict {
	j := t.lockJob(m.GetJob())
	if w.probeAttempt != "" || t.now < w.probeAt {
		return refused(RefusedQuarantined, "worker %q is quarantined: %s", w.name, w.quarantineReason)
	}
	if j.isGang() || j.spec.GetNonIdempotent() {
		return refused(RefusedQuarantined, "job %q can't probe the quarantined worker %q", m.GetJob(), w.name)
	}
	return nil
}

// checkQuota refuses an attempt that exceeds its team's quota, or is marked as
// borrowed although its job can't be preempted.
func (t *Table) checkQuota(m *apiv1.Attempt, totals *planTotals) *apiv1.PlanVerdict {
	j := t.lockJob(m.GetJob())
	if m.GetBorrowed() {
		if !mayBorrow(j.spec) {
			return refused(RefusedQuota, "job %q can't be preempted, so it can't borrow", m.GetJob())
		}
		return nil
	}
	name := j.spec.GetTeam()
	taken := totals.teams[name].Plus(resources.FromMessage(m.GetResources()))
	account := t.accountOf(name)
	if !account.admits(taken) {
		return refused(RefusedQuota, "team %q uses %s of %s", name, formatAmount(account.own), formatAmount(account.quota))
	}
	totals.teams[name] = taken
	return nil
}

// checkGangs refuses a plan that contains some but not all tasks of a gang.
func (t *Table) checkGangs(plan *apiv1.GangPlan, totals *planTotals) *apiv1.PlanVerdict {
	for _, m := range plan.GetAttempts() {
		j := t.lockJob(m.GetJob())
		if j.isGang() && len(totals.tasks[m.GetJob()]) != j.count() {
			return refused(RefusedPartialGang, "the plan has %d of %d tasks of gang %q",
				len(totals.tasks[m.GetJob()]), j.count(), m.GetJob())
		}
	}
	return nil
}

// placeAttempt creates the attempt, which must have passed all checks.
func (t *Table) placeAttempt(m *apiv1.Attempt) {
	j := t.lockJob(m.GetJob())
	w := t.lockWorker(m.GetWorker())
	task := j.tasks[m.GetIndex()]
	a := &attempt{
		id:            m.GetId(),
		job:           m.GetJob(),
		index:         m.GetIndex(),
		worker:        w.name,
		boot:          w.boot,
		amount:        j.amount(),
		generation:    j.generation,
		command:       j.spec.GetCommand(),
		team:          j.spec.GetTeam(),
		borrowed:      m.GetBorrowed(),
		nonIdempotent: j.spec.GetNonIdempotent(),
		placedAt:      t.now,
		state:         apiv1.TaskState_TASK_STATE_PLACED,
	}
	t.liveAttempts[a.id] = a
	w.liveAttempts[a.id] = a
	w.used = w.used.Plus(a.amount)
	if w.quarantined {
		w.probeAttempt = a.id
		t.markWorkerChanged(w.name)
	}
	w.bumpOrdersRevision()
	t.accountOf(a.team).addUsage(a)
	task.liveAttempt = a
	task.attempts++
	task.maybeStarted = a.nonIdempotent
	j.liveCount++
	if j.isGang() {
		j.placedCount = j.count()
	}
	t.setState(j, task, a.state, "")
}
