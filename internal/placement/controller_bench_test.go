package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/placement"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// BenchmarkControllerRuns2000Tasks measures batch tasks on 550 fake workers from
// publication to the end of the last task, with an in-memory log.
func BenchmarkControllerRuns2000Tasks(b *testing.B) {
	const workers, count = 550, 2000
	table := tasks.New()
	log := newMemoryLog(table)
	controller := placement.New(placement.Config{Log: log, Tasks: table, Clock: clock.System{}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = controller.Run(ctx) }()
	for i := range workers {
		w := worker.New(worker.Options{
			Name:     fmt.Sprintf("w%d", i),
			Location: &apiv1.Location{FailureDomain: fmt.Sprint(i % 6), Rack: fmt.Sprint(i / 8)},
			Capacity: &apiv1.Resources{CpuMillis: 16000, MemoryBytes: 64 * gib},
			Platform: controller,
		})
		go func() { _ = w.Run(ctx) }()
	}
	waitFor := func(condition func() bool) {
		for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				b.Fatal("the condition does not hold in time")
			}
		}
	}
	waitFor(func() bool { return len(table.AliveBoots()) == workers })
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprintf("batch%d", i)
		start := time.Now()
		log.configure(time.Now().UnixMilli(), &apiv1.Configuration{Jobs: []*apiv1.Job{{
			Name: name, Kind: apiv1.JobKind_JOB_KIND_BATCH, Count: count, Command: "sleep 10ms",
			Resources: &apiv1.Resources{CpuMillis: 1000, MemoryBytes: gib},
		}}})
		waitFor(func() bool {
			status, _, _ := table.Job(name)
			return status.GetDone() == count
		})
		b.ReportMetric(count/time.Since(start).Seconds(), "tasks/s")
	}
}
