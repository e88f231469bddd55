package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// cellSize is the size of a cell. The stated size is 550 workers and 4,000 running
// tasks, a fifth of them in services.
type cellSize struct {
	workers int
	tasks   int
	jobs    int // waiting jobs that don't fit
}

var statedSize = cellSize{workers: 550, tasks: 4000}

// newBusyHarness returns a harness in which the given number of tasks run, and the
// ids of the batch attempts.
func newBusyHarness(s cellSize) (*harness, []string) {
	r := rand.New(rand.NewPCG(1, 1))
	h := newHarness()
	h.workers(s.workers, resources.Amount{CPU: 32000, Memory: 128 * gib})
	const services = 20
	each := int32(max(1, s.tasks/5/services))
	for i := range services {
		j := batchJob(fmt.Sprintf("service%d", i), resources.Amount{CPU: 2000, Memory: 6 * gib}, each)
		j.Kind = apiv1.JobKind_JOB_KIND_SERVICE
		h.publish(j)
	}
	for i := 0; services*int(each)+8*i < s.tasks; i++ {
		amount, _ := despacho().batch(r)
		h.publish(batchJob(fmt.Sprintf("batch%d", i), amount, 8))
	}
	for len(h.round(512).Plans) > 0 {
	}
	for i := range s.jobs {
		j := batchJob(fmt.Sprintf("wide%d", i), resources.Amount{CPU: 31000 + int64(i%900), Memory: 100 * gib}, 4)
		j.Class = apiv1.Class_CLASS_BULK
		h.publish(j)
	}
	h.round(512)
	var ids []string
	for id, a := range h.running {
		if h.jobs[a.GetJob()].GetKind() == apiv1.JobKind_JOB_KIND_BATCH {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return h, ids
}

// reportP99 reports the 99th percentile of the durations.
func reportP99(b *testing.B, all []time.Duration) {
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1000, "p99-µs")
}

// churn ends batch random batch attempts before each round, which places their tasks
// again, and reports the rounds' durations.
func churn(b *testing.B, s cellSize, batch int) {
	h, ids := newBusyHarness(s)
	r := rand.New(rand.NewPCG(2, 2))
	var took []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	placed := 0
	for b.Loop() {
		for range batch {
			at := r.IntN(len(ids))
			h.requeue(ids[at])
			ids[at] = ids[len(ids)-1]
			ids = ids[:len(ids)-1]
		}
		h.now++
		start := time.Now()
		d := h.cell.Schedule(h.now, 512)
		took = append(took, time.Since(start))
		h.carryOut(d)
		for _, plan := range d.Plans {
			placed += len(plan.GetAttempts())
			for _, a := range plan.GetAttempts() {
				ids = append(ids, a.GetId())
			}
		}
	}
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
	reportP99(b, took)
}

func BenchmarkDecision(b *testing.B) {
	churn(b, statedSize, 1)
}

func BenchmarkBatchOf64(b *testing.B) {
	churn(b, statedSize, 64)
}

func BenchmarkGangOf64(b *testing.B) {
	h, _ := newBusyHarness(statedSize)
	var took []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		j := batchJob(fmt.Sprintf("gang%d", i), resources.Amount{CPU: 2000, Memory: 4 * gib}, 64)
		j.Kind = apiv1.JobKind_JOB_KIND_GANG
		h.publish(j)
		start := time.Now()
		d := h.cell.Schedule(h.now, 512)
		took = append(took, time.Since(start))
		if len(d.Plans) != 1 {
			b.Fatal("the gang is not placed")
		}
		h.carryOut(d)
		for _, a := range d.Plans[0].GetAttempts() {
			h.finish(a.GetId())
		}
	}
	reportP99(b, took)
}

func BenchmarkSlopeWorkers(b *testing.B) {
	for _, n := range []int{138, 550, 2200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			churn(b, cellSize{workers: n, tasks: 1000}, 8)
		})
	}
}

func BenchmarkSlopeTasks(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			churn(b, cellSize{workers: 550, tasks: n}, 8)
		})
	}
}

func BenchmarkSlopeWaitingJobs(b *testing.B) {
	for _, n := range []int{60, 240, 960} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			churn(b, cellSize{workers: 550, tasks: 4000, jobs: n}, 8)
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h, _ := newBusyHarness(statedSize)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		runtime.KeepAlive(h)
	}
}
