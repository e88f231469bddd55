package tasks

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const start = int64(1_700_000_000_000) // Unix milliseconds

// fixture is a table with two workers, w1 and w2, of four processors each, and its
// clock.
type fixture struct {
	table *Table
	now   int64
}

func newFixture(c *apiv1.Configuration) *fixture {
	f := &fixture{table: New(), now: start}
	f.table.Configure(f.now, c)
	f.register("w1", "1")
	f.register("w2", "1")
	return f
}

func (f *fixture) apply(command *apiv1.PlacementCommand) *apiv1.PlacementResult {
	return f.table.Apply(f.now, command)
}

func (f *fixture) register(name, boot string) {
	f.apply(&apiv1.PlacementCommand{Register: []*apiv1.Worker{{
		Name:     name,
		Boot:     boot,
		Capacity: resources.Amount{CPU: 4000, Memory: 8, Accelerators: 1}.Message(),
	}}})
}

func (f *fixture) expireWorker1() {
	f.apply(&apiv1.PlacementCommand{Expire: []*apiv1.WorkerExpiry{{Name: "w1", Boot: "1"}}})
}

// plan proposes one plan and returns the refusal code.
func (f *fixture) plan(attempts ...*apiv1.Attempt) string {
	result := f.apply(&apiv1.PlacementCommand{Plans: []*apiv1.GangPlan{{Attempts: attempts}}})
	return result.GetVerdicts()[0].GetRefusal()
}

func (f *fixture) report(id, worker string, phase apiv1.AttemptReport_Phase) {
	f.apply(&apiv1.PlacementCommand{Reports: []*apiv1.AttemptReport{{
		Attempt: id, Worker: worker, Boot: "1", Phase: phase, Detail: "as the test says",
	}}})
}

func (f *fixture) state(job string, index int) apiv1.TaskState {
	_, all, _ := f.table.Job(job)
	return all[index].GetState()
}

// configured returns jobs of all kinds; refit is the non-idempotent one.
func configured() *apiv1.Configuration {
	amount := resources.Amount{CPU: 1000, Memory: 1}.Message()
	return &apiv1.Configuration{
		Jobs: []*apiv1.Job{
			{Name: "batch", Kind: apiv1.JobKind_JOB_KIND_BATCH, Team: "t", Count: 8, Resources: amount},
			{Name: "gang", Kind: apiv1.JobKind_JOB_KIND_GANG, Count: 3, Resources: amount},
			{Name: "late", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 1, Resources: amount, ReleaseUnixMs: start + 1000},
			{Name: "large", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 2, Resources: resources.Amount{CPU: 3000}.Message()},
			{Name: "memory", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 2, Resources: resources.Amount{Memory: 5}.Message()},
			{Name: "device", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 2, Resources: resources.Amount{Accelerators: 1}.Message()},
			{Name: "refit", Kind: apiv1.JobKind_JOB_KIND_BATCH, Team: "t", Count: 3, Resources: amount, NonIdempotent: true},
			{Name: "service", Kind: apiv1.JobKind_JOB_KIND_SERVICE, Team: "t", Count: 4, Resources: amount},
		},
		Teams: []*apiv1.Team{{Name: "t", Quota: resources.Amount{CPU: 2000, Memory: 8}.Message()}},
	}
}

// newAttempt returns a valid attempt of a configured job on the worker's boot 1.
func newAttempt(job string, index int32, worker string) *apiv1.Attempt {
	for _, j := range configured().GetJobs() {
		if j.GetName() == job {
			return &apiv1.Attempt{
				Id:        fmt.Sprintf("%s/%d", job, index),
				Job:       job,
				Index:     index,
				Worker:    worker,
				Boot:      "1",
				Resources: j.GetResources(),
			}
		}
	}
	panic("job " + job + " is not configured")
}

func modified(a *apiv1.Attempt, change func(*apiv1.Attempt)) *apiv1.Attempt {
	change(a)
	return a
}

func TestPlansAreRefused(t *testing.T) {
	borrowed := func(a *apiv1.Attempt) { a.Borrowed = true }
	gang := func(worker string) []*apiv1.Attempt {
		return []*apiv1.Attempt{newAttempt("gang", 0, worker), newAttempt("gang", 1, worker), newAttempt("gang", 2, worker)}
	}
	cases := []struct {
		name   string
		before func(f *fixture)
		plan   []*apiv1.Attempt
		want   string
	}{
		{name: "one task", plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1")}},
		{name: "whole gang", plan: gang("w1")},
		{name: "no attempt", want: RefusedEmpty},
		{name: "no such job", plan: []*apiv1.Attempt{modified(newAttempt("batch", 0, "w1"), func(a *apiv1.Attempt) { a.Job = "x" })}, want: RefusedStaleJob},
		{name: "index beyond the count", plan: []*apiv1.Attempt{newAttempt("batch", 8, "w1")}, want: RefusedStaleJob},
		{name: "negative index", plan: []*apiv1.Attempt{newAttempt("batch", -1, "w1")}, want: RefusedStaleJob},
		{name: "other resources than declared", plan: []*apiv1.Attempt{modified(newAttempt("batch", 0, "w1"), func(a *apiv1.Attempt) { a.Resources = nil })}, want: RefusedStaleJob},
		{name: "other generation", plan: []*apiv1.Attempt{modified(newAttempt("batch", 0, "w1"), func(a *apiv1.Attempt) { a.Generation = "0" })}, want: RefusedStaleJob},
		{name: "no id", plan: []*apiv1.Attempt{modified(newAttempt("batch", 0, "w1"), func(a *apiv1.Attempt) { a.Id = "" })}, want: RefusedDuplicateID},
		{
			name:   "id of a live attempt",
			before: func(f *fixture) { f.plan(newAttempt("batch", 0, "w1")) },
			plan:   []*apiv1.Attempt{modified(newAttempt("batch", 1, "w1"), func(a *apiv1.Attempt) { a.Id = "batch/0" })},
			want:   RefusedDuplicateID,
		},
		{
			name:   "second live attempt",
			before: func(f *fixture) { f.plan(newAttempt("batch", 0, "w1")) },
			plan:   []*apiv1.Attempt{modified(newAttempt("batch", 0, "w2"), func(a *apiv1.Attempt) { a.Id = "y" })},
			want:   RefusedLiveAttempt,
		},
		{
			name: "task twice in one plan",
			plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1"), modified(newAttempt("batch", 0, "w2"), func(a *apiv1.Attempt) { a.Id = "y" })},
			want: RefusedLiveAttempt,
		},
		{name: "id twice in one plan", plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1"), modified(newAttempt("batch", 1, "w1"), func(a *apiv1.Attempt) { a.Id = "batch/0" })}, want: RefusedDuplicateID},
		{name: "before the release time", plan: []*apiv1.Attempt{newAttempt("late", 0, "w1")}, want: RefusedReleaseTime},
		{
			name: "within the backoff after a failure",
			before: func(f *fixture) {
				f.plan(newAttempt("batch", 0, "w1"))
				f.report("batch/0", "w1", apiv1.AttemptReport_PHASE_FAILED)
			},
			plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1")},
			want: RefusedReleaseTime,
		},
		{name: "unknown worker", plan: []*apiv1.Attempt{newAttempt("batch", 0, "w3")}, want: RefusedWorkerGone},
		{name: "worker whose lease expired", before: func(f *fixture) { f.expireWorker1() }, plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1")}, want: RefusedWorkerGone},
		{name: "worker that restarted", before: func(f *fixture) { f.register("w1", "2") }, plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1")}, want: RefusedWorkerGone},
		{name: "processors across two plans", before: func(f *fixture) { f.plan(newAttempt("large", 0, "w1")) }, plan: []*apiv1.Attempt{newAttempt("large", 1, "w1")}, want: RefusedCapacity},
		{name: "processors within one plan", plan: []*apiv1.Attempt{newAttempt("large", 0, "w1"), newAttempt("large", 1, "w1")}, want: RefusedCapacity},
		{name: "memory", plan: []*apiv1.Attempt{newAttempt("memory", 0, "w1"), newAttempt("memory", 1, "w1")}, want: RefusedCapacity},
		{name: "accelerators", plan: []*apiv1.Attempt{newAttempt("device", 0, "w1"), newAttempt("device", 1, "w1")}, want: RefusedCapacity},
		{
			name: "capacity of an attempt that was ordered to stop",
			before: func(f *fixture) {
				f.plan(newAttempt("large", 0, "w1"))
				f.apply(&apiv1.PlacementCommand{Stop: []string{"large/0"}})
			},
			plan: []*apiv1.Attempt{newAttempt("large", 1, "w1")},
			want: RefusedCapacity,
		},
		{name: "beyond the quota", plan: []*apiv1.Attempt{newAttempt("batch", 0, "w1"), newAttempt("batch", 1, "w1"), newAttempt("batch", 2, "w1")}, want: RefusedQuota},
		{name: "beyond the quota, borrowed", before: func(f *fixture) { f.plan(newAttempt("batch", 0, "w1"), newAttempt("batch", 1, "w1")) }, plan: []*apiv1.Attempt{modified(newAttempt("batch", 2, "w1"), borrowed)}},
		{name: "service that borrows", plan: []*apiv1.Attempt{modified(newAttempt("service", 0, "w1"), borrowed)}, want: RefusedQuota},
		{name: "non-idempotent task that borrows", plan: []*apiv1.Attempt{modified(newAttempt("refit", 0, "w1"), borrowed)}, want: RefusedQuota},
		{name: "part of a gang", plan: gang("w1")[:2], want: RefusedPartialGang},
		{name: "gang with a task that does not fit", before: func(f *fixture) { f.plan(newAttempt("large", 0, "w1")) }, plan: gang("w1"), want: RefusedCapacity},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(configured())
			if c.before != nil {
				c.before(f)
			}
			live := len(f.table.liveAttempts)
			is.Equal(f.plan(c.plan...), c.want)
			if c.want != "" {
				is.Equal(len(f.table.liveAttempts), live) // nothing of a refused plan is placed
			}
			is.Equal(f.table.violations(), nil)
		})
	}
}

func TestTaskStateAfterReports(t *testing.T) {
	const (
		running      = apiv1.AttemptReport_PHASE_RUNNING
		done         = apiv1.AttemptReport_PHASE_SUCCEEDED
		failed       = apiv1.AttemptReport_PHASE_FAILED
		stopped      = apiv1.AttemptReport_PHASE_STOPPED
		neverStarted = apiv1.AttemptReport_PHASE_NEVER_STARTED
	)
	report := func(phases ...apiv1.AttemptReport_Phase) func(f *fixture, job string) {
		return func(f *fixture, job string) {
			for _, phase := range phases {
				f.report(job+"/0", "w1", phase)
			}
		}
	}
	expire := func(f *fixture, _ string) { f.expireWorker1() }
	restart := func(f *fixture, _ string) { f.register("w1", "2") }
	registerAgain := func(f *fixture, _ string) { f.register("w1", "1") }
	type steps []func(f *fixture, job string)
	cases := []struct {
		name string
		job  string
		do   steps
		want apiv1.TaskState
	}{
		{"batch task succeeds", "batch", steps{report(running, done)}, apiv1.TaskState_TASK_STATE_DONE},
		{"batch task fails", "batch", steps{report(running, failed)}, apiv1.TaskState_TASK_STATE_WAITING},
		{"batch task's worker is lost", "batch", steps{report(running), expire}, apiv1.TaskState_TASK_STATE_WAITING},
		{"batch task's worker restarts", "batch", steps{report(running), restart}, apiv1.TaskState_TASK_STATE_WAITING},
		{"service task ends by itself", "service", steps{report(running, done)}, apiv1.TaskState_TASK_STATE_WAITING},
		{"non-idempotent task succeeds", "refit", steps{report(running, done)}, apiv1.TaskState_TASK_STATE_DONE},
		{"non-idempotent task fails", "refit", steps{report(running, failed)}, apiv1.TaskState_TASK_STATE_FAILED},
		{"non-idempotent task never started", "refit", steps{report(neverStarted)}, apiv1.TaskState_TASK_STATE_WAITING},
		{"non-idempotent task ran, then is reported as never started", "refit", steps{report(running, neverStarted)}, apiv1.TaskState_TASK_STATE_FAILED},
		{"non-idempotent task is stopped", "refit", steps{report(stopped)}, apiv1.TaskState_TASK_STATE_UNKNOWN},
		{"non-idempotent task's worker is lost", "refit", steps{expire}, apiv1.TaskState_TASK_STATE_UNKNOWN},
		{"non-idempotent task's worker restarts", "refit", steps{restart}, apiv1.TaskState_TASK_STATE_UNKNOWN},
		{"lost non-idempotent task never started", "refit", steps{expire, registerAgain, report(neverStarted)}, apiv1.TaskState_TASK_STATE_WAITING},
		{"lost non-idempotent task succeeded", "refit", steps{report(running), expire, registerAgain, report(done)}, apiv1.TaskState_TASK_STATE_DONE},
		{"lost non-idempotent task failed", "refit", steps{report(running), expire, registerAgain, report(failed)}, apiv1.TaskState_TASK_STATE_FAILED},
		{"lost non-idempotent task was stopped", "refit", steps{report(running), expire, registerAgain, report(stopped)}, apiv1.TaskState_TASK_STATE_UNKNOWN},
		{"lost non-idempotent task ran, then is reported as never started", "refit", steps{report(running), expire, registerAgain, report(neverStarted)}, apiv1.TaskState_TASK_STATE_UNKNOWN},
		{"report of the boot before the restart", "refit", steps{restart, report(neverStarted)}, apiv1.TaskState_TASK_STATE_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(configured())
			is.Equal(f.plan(newAttempt(c.job, 0, "w1")), "")
			for _, step := range c.do {
				step(f, c.job)
			}
			is.Equal(f.state(c.job, 0), c.want)
			is.Equal(f.table.violations(), nil)
		})
	}
}

func TestSupersededBootIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(configured())
	f.register("w1", "2")
	is.Equal(f.plan(modified(newAttempt("batch", 0, "w1"), func(a *apiv1.Attempt) { a.Boot = "2" })), "")
	f.register("w1", "1") // a delayed registration of the earlier boot
	is.Equal(f.table.Workers()[0].GetWorker().GetBoot(), "2")
	is.Equal(f.state("batch", 0), apiv1.TaskState_TASK_STATE_PLACED)
}

func TestUnknownTasksWaitAgainInANewGeneration(t *testing.T) {
	is := is.New(t)
	f := newFixture(configured())
	is.Equal(f.plan(newAttempt("refit", 0, "w1")), "")
	f.expireWorker1()
	f.table.Configure(f.now, configured()) // the same generation
	is.Equal(f.state("refit", 0), apiv1.TaskState_TASK_STATE_UNKNOWN)

	again := configured()
	again.Jobs[6].Generation = "2"
	f.table.Configure(f.now, again)
	is.Equal(f.state("refit", 0), apiv1.TaskState_TASK_STATE_WAITING)
}

func TestRemovedNonIdempotentJobIsRemembered(t *testing.T) {
	is := is.New(t)
	f := newFixture(configured())
	is.Equal(f.plan(newAttempt("refit", 0, "w1")), "")
	f.report("refit/0", "w1", apiv1.AttemptReport_PHASE_SUCCEEDED)
	f.table.Configure(f.now, &apiv1.Configuration{})
	f.table.Configure(f.now, configured())
	is.Equal(f.state("refit", 0), apiv1.TaskState_TASK_STATE_DONE)
	is.Equal(f.state("refit", 1), apiv1.TaskState_TASK_STATE_WAITING)
}

func TestALostGangTaskRestartsTheWholeGang(t *testing.T) {
	is := is.New(t)
	f := newFixture(configured())
	is.Equal(f.plan(newAttempt("gang", 0, "w1"), newAttempt("gang", 1, "w2"), newAttempt("gang", 2, "w2")), "")
	f.report("gang/1", "w2", apiv1.AttemptReport_PHASE_SUCCEEDED)
	f.expireWorker1()
	is.Equal(f.state("gang", 2), apiv1.TaskState_TASK_STATE_STOPPING)
	f.report("gang/2", "w2", apiv1.AttemptReport_PHASE_STOPPED)
	for index := range 3 {
		is.Equal(f.state("gang", index), apiv1.TaskState_TASK_STATE_WAITING)
	}
}

func TestBorrowedAttemptsBecomeOwnWithinTheQuota(t *testing.T) {
	is := is.New(t)
	f := newFixture(configured())
	borrow := modified(newAttempt("batch", 2, "w1"), func(a *apiv1.Attempt) { a.Borrowed = true })
	is.Equal(f.plan(newAttempt("batch", 0, "w1"), newAttempt("batch", 1, "w1"), borrow), "")
	is.True(f.table.liveAttempts["batch/2"].borrowed)
	f.report("batch/0", "w1", apiv1.AttemptReport_PHASE_SUCCEEDED)
	is.True(!f.table.liveAttempts["batch/2"].borrowed)
	is.Equal(f.table.violations(), nil)
}

func TestRemovingALargeJobStopsAllItsTasks(t *testing.T) {
	is := is.New(t)
	const tasks = 2000
	amount := resources.Amount{CPU: 1}.Message()
	f := newFixture(&apiv1.Configuration{Jobs: []*apiv1.Job{
		{Name: "batch", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: tasks, Resources: amount},
	}})
	for index := range int32(tasks) {
		is.Equal(f.plan(&apiv1.Attempt{
			Id: fmt.Sprint(index), Job: "batch", Index: index, Worker: "w1", Boot: "1", Resources: amount,
		}), "")
	}
	before := f.table.Orders("w1", "1", NoRevision)
	f.table.Configure(f.now, &apiv1.Configuration{})
	<-before.Changed
	after := f.table.Orders("w1", "1", before.Revision)
	is.Equal(len(after.Orders), tasks)
	for _, order := range after.Orders {
		is.Equal(order.GetKind(), apiv1.Order_KIND_STOP)
	}
	command := &apiv1.PlacementCommand{}
	for index := range tasks {
		command.Reports = append(command.Reports, &apiv1.AttemptReport{
			Attempt: fmt.Sprint(index), Worker: "w1", Boot: "1", Phase: apiv1.AttemptReport_PHASE_STOPPED,
		})
	}
	f.apply(command)
	_, _, known := f.table.Job("batch")
	is.True(!known)
	is.Equal(f.table.violations(), nil)
}
