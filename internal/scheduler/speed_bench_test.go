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

// size is a cell's size. The stated one is 550 workers and 4,000 running
// tasks, a fifth of them of services.
type size struct {
	workers int
	tasks   int
	jobs    int // that wait and don't fit
}

var stated = size{workers: 550, tasks: 4000}

// busy returns a world in which the given tasks run, and the batch ones' ids.
func busy(s size) (*world, []string) {
	r := rand.New(rand.NewPCG(1, 1))
	w := newWorld()
	w.workers(s.workers, resources.Amount{CPU: 32000, Memory: 128 * gib})
	const services = 20
	each := int32(max(1, s.tasks/5/services))
	for i := range services {
		j := batchJob(fmt.Sprintf("service%d", i), resources.Amount{CPU: 2000, Memory: 6 * gib}, each)
		j.Kind = apiv1.JobKind_JOB_KIND_SERVICE
		w.publish(j)
	}
	for i := 0; services*int(each)+8*i < s.tasks; i++ {
		amount, _ := despacho().batch(r)
		w.publish(batchJob(fmt.Sprintf("batch%d", i), amount, 8))
	}
	for len(w.round(512).Plans) > 0 {
	}
	for i := range s.jobs {
		j := batchJob(fmt.Sprintf("wide%d", i), resources.Amount{CPU: 31000 + int64(i%900), Memory: 100 * gib}, 4)
		j.Class = apiv1.Class_CLASS_BULK
		w.publish(j)
	}
	w.round(512)
	var ids []string
	for id, a := range w.running {
		if w.jobs[a.GetJob()].GetKind() == apiv1.JobKind_JOB_KIND_BATCH {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return w, ids
}

// percentile reports the 99th percentile of the durations.
func percentile(b *testing.B, all []time.Duration) {
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1000, "p99-µs")
}

// churn ends one batch task and places it anew, batch times a round.
func churn(b *testing.B, s size, batch int) {
	w, ids := busy(s)
	r := rand.New(rand.NewPCG(2, 2))
	var took []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	placed := 0
	for b.Loop() {
		for range batch {
			at := r.IntN(len(ids))
			w.again(ids[at])
			ids[at] = ids[len(ids)-1]
			ids = ids[:len(ids)-1]
		}
		w.now++
		began := time.Now()
		d := w.cell.Schedule(w.now, 512)
		took = append(took, time.Since(began))
		w.carryOut(d)
		for _, plan := range d.Plans {
			placed += len(plan.GetAttempts())
			for _, a := range plan.GetAttempts() {
				ids = append(ids, a.GetId())
			}
		}
	}
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
	percentile(b, took)
}

func BenchmarkDecision(b *testing.B) {
	churn(b, stated, 1)
}

func BenchmarkBatchOf64(b *testing.B) {
	churn(b, stated, 64)
}

func BenchmarkGangOf64(b *testing.B) {
	w, _ := busy(stated)
	var took []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		j := batchJob(fmt.Sprintf("gang%d", i), resources.Amount{CPU: 2000, Memory: 4 * gib}, 64)
		j.Kind = apiv1.JobKind_JOB_KIND_GANG
		w.publish(j)
		began := time.Now()
		d := w.cell.Schedule(w.now, 512)
		took = append(took, time.Since(began))
		if len(d.Plans) != 1 {
			b.Fatal("the gang is not placed")
		}
		w.carryOut(d)
		for _, a := range d.Plans[0].GetAttempts() {
			w.finish(a.GetId())
		}
	}
	percentile(b, took)
}

func BenchmarkSlopeWorkers(b *testing.B) {
	for _, n := range []int{138, 550, 2200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			churn(b, size{workers: n, tasks: 1000}, 8)
		})
	}
}

func BenchmarkSlopeTasks(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			churn(b, size{workers: 550, tasks: n}, 8)
		})
	}
}

func BenchmarkSlopeWaitingJobs(b *testing.B) {
	for _, n := range []int{60, 240, 960} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			churn(b, size{workers: 550, tasks: 4000, jobs: n}, 8)
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w, _ := busy(stated)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		runtime.KeepAlive(w)
	}
}
