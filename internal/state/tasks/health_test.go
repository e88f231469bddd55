package tasks

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// healthFixture has jobs j0 to j9 of three tasks each, and the non-idempotent job
// refit of one task.
func healthFixture() *fixture {
	c := &apiv1.Configuration{}
	for i := range 10 {
		c.Jobs = append(c.Jobs, &apiv1.Job{
			Name: fmt.Sprintf("j%d", i), Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 3,
			Resources: resources.Amount{CPU: 100}.Message(),
		})
	}
	c.Jobs = append(c.Jobs, &apiv1.Job{
		Name: "refit", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 1, NonIdempotent: true,
		Resources: resources.Amount{CPU: 100}.Message(),
	})
	return newFixture(c)
}

// planOne proposes one attempt on a worker and returns the refusal code.
func (f *fixture) planOne(id, job string, index int32, worker string) string {
	return f.plan(&apiv1.Attempt{
		Id: id, Job: job, Index: index, Worker: worker, Boot: "1",
		Resources: resources.Amount{CPU: 100}.Message(),
	})
}

// failOn starts and fails a task of each named job on the worker.
func (f *fixture) failOn(worker string, jobs ...string) {
	for _, job := range jobs {
		id := fmt.Sprintf("%s on %s at %d", job, worker, f.now)
		if refusal := f.planOne(id, job, 0, worker); refusal != "" {
			panic(refusal)
		}
		f.report(id, worker, apiv1.AttemptReport_PHASE_FAILED)
	}
}

func (f *fixture) failures(job string) int32 {
	_, all, _ := f.table.Job(job)
	return all[0].GetFailures()
}

func (f *fixture) quarantined(worker string) bool {
	for _, w := range f.table.Workers() {
		if w.GetWorker().GetName() == worker {
			return w.GetQuarantined()
		}
	}
	return false
}

func TestWorkerThatFailsSeveralJobsIsQuarantinedAndProbed(t *testing.T) {
	is := is.New(t)
	f := healthFixture()
	f.failOn("w1", "j0", "j1")
	is.True(!f.quarantined("w1"))
	is.Equal(f.failures("j0"), int32(1))
	f.failOn("w1", "j2")
	is.True(f.quarantined("w1"))
	for _, job := range []string{"j0", "j1", "j2"} {
		is.Equal(f.failures(job), int32(0)) // the worker was at fault
	}
	is.Equal(f.planOne("a", "j3", 0, "w1"), RefusedQuarantined)

	f.now += minProbeDelayMs
	is.Equal(f.planOne("b", "refit", 0, "w1"), RefusedQuarantined) // a non-idempotent task can't be the probe
	is.Equal(f.planOne("c", "j3", 0, "w1"), "")
	is.Equal(f.planOne("d", "j4", 0, "w1"), RefusedQuarantined) // one probe at a time
	f.report("c", "w1", apiv1.AttemptReport_PHASE_FAILED)
	is.Equal(f.failures("j3"), int32(0))
	f.now += minProbeDelayMs
	is.Equal(f.planOne("e", "j3", 0, "w1"), RefusedQuarantined) // the delay has doubled

	f.now += minProbeDelayMs
	is.Equal(f.planOne("f", "j3", 0, "w1"), "")
	f.report("f", "w1", apiv1.AttemptReport_PHASE_RUNNING)
	f.now += minHealthyRunMs
	f.apply(&apiv1.PlacementCommand{})
	is.True(!f.quarantined("w1"))
	is.Equal(f.table.violations(), nil)
}

func TestNumberOfQuarantinedWorkersIsLimited(t *testing.T) {
	is := is.New(t)
	f := healthFixture()
	f.failOn("w1", "j0", "j1", "j2")
	f.now += maxBackoffMs
	f.failOn("w2", "j3", "j4", "j5")
	is.True(f.quarantined("w1"))
	is.True(!f.quarantined("w2")) // at most one of two workers
	is.Equal(f.failures("j3"), int32(1))
}

func TestJobThatFailsEverywhereQuarantinesNoWorker(t *testing.T) {
	is := is.New(t)
	f := healthFixture()
	for i := 3; i <= 20; i++ {
		f.register(fmt.Sprintf("w%d", i), "1")
	}
	for i := 1; i <= 20; i++ {
		for j, job := range []string{"j0", "j1", "j2"} {
			id := fmt.Sprintf("%s on %d", job, i)
			if f.planOne(id, job, int32(i%3), fmt.Sprintf("w%d", (i+7*j)%20+1)) == "" {
				f.report(id, fmt.Sprintf("w%d", (i+7*j)%20+1), apiv1.AttemptReport_PHASE_FAILED)
			}
		}
		f.now += maxBackoffMs
	}
	for _, w := range f.table.Workers() {
		is.True(!w.GetQuarantined())
	}
}

func TestJobsThatCanNeverRunAreFound(t *testing.T) {
	cases := []struct {
		name string
		job  *apiv1.Job
		want bool
	}{
		{"fits", &apiv1.Job{Resources: resources.Amount{CPU: 4000}.Message(), Count: 1}, false},
		{"larger than any worker", &apiv1.Job{Resources: resources.Amount{CPU: 4001}.Message(), Count: 1}, true},
		{"more accelerators than any worker has", &apiv1.Job{Resources: resources.Amount{Accelerators: 2}.Message(), Count: 1}, true},
		{"gang larger than all workers", &apiv1.Job{Kind: apiv1.JobKind_JOB_KIND_GANG, Resources: resources.Amount{CPU: 2000}.Message(), Count: 5}, true},
		{"service task beyond the quota", &apiv1.Job{Kind: apiv1.JobKind_JOB_KIND_SERVICE, Team: "t", Resources: resources.Amount{CPU: 2000}.Message(), Count: 1}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.job.Name = "j"
			if c.job.GetKind() == apiv1.JobKind_JOB_KIND_UNSPECIFIED {
				c.job.Kind = apiv1.JobKind_JOB_KIND_BATCH
			}
			f := newFixture(&apiv1.Configuration{
				Jobs:  []*apiv1.Job{c.job},
				Teams: []*apiv1.Team{{Name: "t", Quota: resources.Amount{CPU: 1000}.Message()}},
			})
			is.Equal(f.table.Jobs()[0].GetNeverRunnable() != "", c.want)
		})
	}
}
