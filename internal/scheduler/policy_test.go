package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

var fourCPU = resources.Amount{CPU: 4000, Memory: 16 * gib}

func cpu(n int64) resources.Amount {
	return resources.Amount{CPU: n}
}

func with(j *apiv1.Job, change func(*apiv1.Job)) *apiv1.Job {
	change(j)
	return j
}

// placed returns the attempts of a decision.
func placed(d *scheduler.Decision) []*apiv1.Attempt {
	var all []*apiv1.Attempt
	for _, plan := range d.Plans {
		all = append(all, plan.GetAttempts()...)
	}
	return all
}

func (h *harness) runningOf(t *testing.T, job string) []string {
	t.Helper()
	var ids []string
	for id, a := range h.running {
		if a.GetJob() == job {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestServicesSpreadOverDomainsAndRacks(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(96, fourCPU) // 12 racks, 2 in each of 6 failure domains
	h.publish(with(batchJob("s", cpu(1000), 12), func(j *apiv1.Job) { j.Kind = apiv1.JobKind_JOB_KIND_SERVICE }))
	racks := make(map[string]int)
	for _, a := range placed(h.round(100)) {
		var number int
		_, err := fmt.Sscanf(a.GetWorker(), "w%04d", &number)
		is.NoErr(err)
		racks[fmt.Sprint(number/8)]++
	}
	is.Equal(len(racks), 12) // one task a rack
}

func TestBatchTasksArePacked(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(16, fourCPU)
	h.publish(batchJob("b", cpu(1000), 8))
	used := make(map[string]int)
	for _, a := range placed(h.round(100)) {
		used[a.GetWorker()]++
	}
	is.Equal(len(used), 2) // two full workers
}

func TestUrgentWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(1, fourCPU)
	h.publish(batchJob("normal", cpu(4000), 1))
	h.publish(with(batchJob("urgent", cpu(4000), 1), func(j *apiv1.Job) { j.Class = apiv1.Class_CLASS_URGENT }))
	all := placed(h.round(100))
	is.Equal(len(all), 1)
	is.Equal(all[0].GetJob(), "urgent")
}

func TestUrgentWorkPreemptsBulkWork(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(2, fourCPU)
	h.publish(
		with(batchJob("bulk", cpu(4000), 1), func(j *apiv1.Job) { j.Class = apiv1.Class_CLASS_BULK }),
		with(batchJob("refit", cpu(4000), 1), func(j *apiv1.Job) { j.Class = apiv1.Class_CLASS_BULK; j.NonIdempotent = true }),
	)
	h.round(100)
	h.publish(
		with(batchJob("urgent", cpu(1000), 1), func(j *apiv1.Job) { j.Class = apiv1.Class_CLASS_URGENT }),
		batchJob("other", cpu(1000), 8),
	)
	d := h.round(100)
	is.Equal(d.Stop, h.runningOf(t, "bulk")) // a non-idempotent task is never stopped
	is.Equal(len(d.Plans), 0)
	h.stop(d)
	all := placed(h.round(100))
	is.Equal(all[0].GetJob(), "urgent") // the freed capacity is reserved for it
	is.Equal(len(all), 4)
}

func TestBorrowedWorkYieldsToAQuota(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(1, fourCPU)
	h.teams(
		&apiv1.Team{Name: "a", Quota: resources.Amount{CPU: 2000}.Message()},
		&apiv1.Team{Name: "b", Quota: resources.Amount{CPU: 2000}.Message()},
	)
	h.publish(with(batchJob("a", cpu(1000), 4), func(j *apiv1.Job) { j.Team = "a" }))
	borrowed := 0
	for _, a := range placed(h.round(100)) {
		if a.GetBorrowed() {
			borrowed++
		}
	}
	is.Equal(borrowed, 2)
	h.publish(with(batchJob("b", cpu(1000), 4), func(j *apiv1.Job) { j.Team = "b" }))
	for range 8 {
		h.stop(h.round(100))
	}
	is.Equal(len(h.runningOf(t, "a")), 2)
	is.Equal(len(h.runningOf(t, "b")), 2)
	d := h.round(100)
	is.Equal(len(d.Stop)+len(d.Plans), 0) // neither team takes from the other's quota
}

func TestTeamsShareWhatIsFree(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(2, fourCPU)
	h.publish(
		with(batchJob("a", cpu(1000), 20), func(j *apiv1.Job) { j.Team = "a" }),
		with(batchJob("b", cpu(1000), 20), func(j *apiv1.Job) { j.Team = "b" }),
	)
	h.round(100)
	is.Equal(len(h.runningOf(t, "a")), 4)
	is.Equal(len(h.runningOf(t, "b")), 4)
}

func TestGangWaitsAsAWholeWithAReservation(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(4, fourCPU)
	h.publish(batchJob("long", cpu(4000), 3)) // runs for 30 s
	h.round(100)
	h.publish(with(batchJob("gang", cpu(4000), 4), func(j *apiv1.Job) { j.Kind = apiv1.JobKind_JOB_KIND_GANG }))
	is.Equal(len(h.round(100).Plans), 0)
	h.now += 16_000 // past the reservation delay of a normal job
	h.round(100)

	h.publish(batchJob("short", cpu(4000), 1), batchJob("endless", cpu(4000), 1))
	h.jobs["short"].ExpectedRunMs = 5_000
	h.jobs["endless"].ExpectedRunMs = 0
	all := placed(h.round(100))
	is.Equal(len(all), 1)
	is.Equal(all[0].GetJob(), "short") // it is expected to end before the gang's reservation

	h.now += 14_000 // the gang's reservation is due; the short job overruns it
	for _, id := range h.runningOf(t, "long") {
		h.finish(id)
	}
	d := h.round(100)
	is.Equal(d.Stop, h.runningOf(t, "short"))
	h.stop(d)
	all = placed(h.round(100))
	is.Equal(len(all), 4)
	is.Equal(all[0].GetJob(), "gang")
}

func TestAChangedServiceIsReplacedAFewAtATime(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.workers(10, fourCPU)
	service := with(batchJob("s", cpu(1000), 20), func(j *apiv1.Job) { j.Kind = apiv1.JobKind_JOB_KIND_SERVICE })
	h.publish(service)
	h.round(100)
	outdated := &scheduler.Changes{}
	for _, a := range h.running {
		state := h.liveState(a, apiv1.TaskState_TASK_STATE_RUNNING)
		state.Outdated = true
		outdated.Tasks = append(outdated.Tasks, state)
	}
	h.update(outdated)
	rounds := 0
	for d := h.round(100); len(d.Stop) > 0; d = h.round(100) {
		is.True(len(d.Stop) <= 2)
		h.stop(d)
		is.Equal(len(placed(h.round(100))), len(d.Stop))
		rounds++
	}
	is.Equal(rounds, 10)
	is.Equal(len(h.running), 20)
}

func TestWaitReasons(t *testing.T) {
	reasons := func(all []*apiv1.WaitReason) map[string]int32 {
		found := make(map[string]int32)
		for _, reason := range all {
			found[reason.GetFilter()] = reason.GetWorkers()
		}
		return found
	}
	cases := []struct {
		name string
		job  *apiv1.Job
		want map[string]int32
	}{
		{"capacity", batchJob("j", cpu(4001), 1), map[string]int32{scheduler.ReasonCapacity: 3, scheduler.ReasonQuarantine: 1}},
		{"release time", with(batchJob("j", cpu(1), 1), func(j *apiv1.Job) { j.ReleaseUnixMs = startMs + 5000 }), map[string]int32{scheduler.ReasonReleaseTime: 0}},
		{"quota", with(batchJob("j", cpu(2000), 1), func(j *apiv1.Job) { j.Team = "t"; j.NonIdempotent = true }), map[string]int32{scheduler.ReasonQuota: 0, scheduler.ReasonQuarantine: 1}},
		{"nothing waits", batchJob("j", cpu(1), 1), map[string]int32{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.workers(3, fourCPU)
			quarantined := workerState(3, fourCPU)
			quarantined.Quarantined = true
			h.update(&scheduler.Changes{Workers: []scheduler.WorkerState{quarantined}})
			h.teams(&apiv1.Team{Name: "t", Quota: cpu(1000).Message()})
			h.publish(c.job)
			h.round(100)
			is.Equal(reasons(h.cell.WaitReasons("j")), c.want)
		})
	}
}

func TestAQuarantinedWorkerIsProbedWithATaskThatMayRunTwice(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	quarantined := workerState(0, fourCPU)
	quarantined.Quarantined = true
	quarantined.ProbeAt = startMs + 1000
	h.update(&scheduler.Changes{Workers: []scheduler.WorkerState{quarantined}})
	h.publish(
		with(batchJob("refit", cpu(1000), 1), func(j *apiv1.Job) { j.NonIdempotent = true }),
		batchJob("batch", cpu(1000), 3),
	)
	d := h.round(100)
	is.Equal(len(d.Plans), 0)
	is.Equal(d.NextRoundAt, startMs+1000)
	h.now += 1000
	all := placed(h.round(100))
	is.Equal(len(all), 1)
	is.Equal(all[0].GetJob(), "batch")
}
