package tasks

import (
	"fmt"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// BenchmarkApply applies one plan and the end of its attempt to a table with 550
// workers and 4,000 live attempts.
func BenchmarkApply(b *testing.B) {
	const workers, live = 550, 4000
	amount := resources.Amount{CPU: 1}.Message()
	table := New()
	table.Configure(start, &apiv1.Configuration{Jobs: []*apiv1.Job{
		{Name: "busy", Kind: apiv1.JobKind_JOB_KIND_SERVICE, Count: live, Resources: amount},
		{Name: "batch", Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: 1, Resources: amount, MaxFailures: 1 << 30},
	}})
	name := func(i int) string { return fmt.Sprintf("w%d", i%workers) }
	for i := range workers {
		table.Apply(start, &apiv1.PlacementCommand{Register: []*apiv1.Worker{{
			Name: name(i), Boot: "1", Capacity: resources.Amount{CPU: 100}.Message(),
		}}})
	}
	plan := func(id, job string, index int32, worker string) *apiv1.PlacementCommand {
		return &apiv1.PlacementCommand{Plans: []*apiv1.GangPlan{{Attempts: []*apiv1.Attempt{{
			Id: id, Job: job, Index: index, Worker: worker, Boot: "1", Resources: amount,
		}}}}}
	}
	for i := range int32(live) {
		table.Apply(start, plan(fmt.Sprint(i), "busy", i, name(int(i))))
	}
	table.DrainFullState()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		id := fmt.Sprint("b", i)
		result := table.Apply(start, plan(id, "batch", 0, name(i)))
		if refusal := result.GetVerdicts()[0].GetRefusal(); refusal != "" {
			b.Fatal(refusal)
		}
		table.Apply(start, &apiv1.PlacementCommand{Reports: []*apiv1.AttemptReport{{
			Attempt: id, Worker: name(i), Boot: "1", Phase: apiv1.AttemptReport_PHASE_STOPPED,
		}}})
		table.DrainChanges()
	}
}

// BenchmarkSnapshot encodes a table with 550 workers and 4,000 live attempts.
func BenchmarkSnapshot(b *testing.B) {
	const workers, live = 550, 4000
	amount := resources.Amount{CPU: 1}.Message()
	table := New()
	table.Configure(start, &apiv1.Configuration{Jobs: []*apiv1.Job{
		{Name: "busy", Kind: apiv1.JobKind_JOB_KIND_SERVICE, Count: live, Resources: amount},
	}})
	for i := range workers {
		table.Apply(start, &apiv1.PlacementCommand{Register: []*apiv1.Worker{{
			Name: fmt.Sprint(i), Boot: "1", Capacity: resources.Amount{CPU: 100}.Message(),
		}}})
	}
	for i := range int32(live) {
		table.Apply(start, &apiv1.PlacementCommand{Plans: []*apiv1.GangPlan{{Attempts: []*apiv1.Attempt{{
			Id: fmt.Sprint(i), Job: "busy", Index: i, Worker: fmt.Sprint(int(i) % workers), Boot: "1", Resources: amount,
		}}}}})
	}
	for b.Loop() {
		data, err := table.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/1024, "KiB")
	}
}
