package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

const (
	replayWorkers         = 100
	replayMs              = 2 * 60 * 60 * 1000 // milliseconds
	replayLoad            = 0.9                // of the scarcer resource
	urgentIntervalMs      = 2000               // milliseconds
	urgentRunMs           = 1000               // milliseconds
	gangFraction          = 0.1                // of all jobs but the urgent ones
	checkpointProbability = 0.5
)

// arrival is a job of the replayed stream and its time of arrival.
type arrival struct {
	at    int64
	job   *apiv1.Job
	runMs []int64 // actual run time of each task; the declared one may be ten times off
}

// generateArrivals generates two hours of one user's work.
func generateArrivals(m workload) []arrival {
	r := rand.New(rand.NewPCG(4, 4))
	var all []arrival
	capacity := m.worker.Times(replayWorkers)
	var work resources.Amount // integrated over run time in milliseconds
	limit := func(group int64) float64 { return replayLoad * float64(group) * replayMs }
	for i := 0; float64(work.CPU) < limit(capacity.CPU) && float64(work.Memory/gib) < limit(capacity.Memory/gib); i++ {
		amount, run := m.batch(r)
		j := batchJob(fmt.Sprintf("j%06d", i), amount, 1+r.Int32N(8))
		if r.Float64() < gangFraction {
			j.Kind = apiv1.JobKind_JOB_KIND_GANG
			amount, j.Count = m.gang(r)
			j.Resources = amount.Message()
		}
		j.ExpectedRunMs = run
		j.Checkpoint = r.Float64() < checkpointProbability
		if r.IntN(2) == 0 {
			j.Class = apiv1.Class_CLASS_BULK
		}
		arriving := arrival{at: r.Int64N(replayMs), job: j}
		actual := int64(float64(run) * math.Pow(10, 2*r.Float64()-1))
		for range j.GetCount() {
			arriving.runMs = append(arriving.runMs, actual)
			work = work.Plus(resources.Amount{CPU: amount.CPU * actual, Memory: amount.Memory * actual})
		}
		all = append(all, arriving)
	}
	for at := int64(0); at < replayMs; at += urgentIntervalMs {
		j := batchJob(fmt.Sprintf("u%06d", at), m.urgent, 1)
		j.Class = apiv1.Class_CLASS_URGENT
		j.ExpectedRunMs = urgentRunMs
		all = append(all, arrival{at: at, job: j, runMs: []int64{urgentRunMs}})
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// taskEnd is the time at which a running attempt ends.
type taskEnd struct {
	at int64
	id string
}

type endHeap []taskEnd

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(taskEnd)) }
func (e *endHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// waitTimes collects the times that tasks wait to start, in milliseconds.
type waitTimes struct {
	urgent, batch, gang []float64
}

func (w *waitTimes) add(j *apiv1.Job, ms int64) {
	switch {
	case j.GetClass() == apiv1.Class_CLASS_URGENT:
		w.urgent = append(w.urgent, float64(ms))
	case j.GetKind() == apiv1.JobKind_JOB_KIND_GANG:
		w.gang = append(w.gang, float64(ms))
	default:
		w.batch = append(w.batch, float64(ms))
	}
}

func mean(all []float64) float64 {
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(max(1, len(all)))
}

func maximum(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all)
}

func (w *waitTimes) report(b *testing.B, prefix string) {
	b.ReportMetric(mean(w.urgent)/1000, prefix+"urgent-s")
	b.ReportMetric(maximum(w.urgent)/1000, prefix+"urgent-max-s")
	b.ReportMetric(mean(w.batch)/1000, prefix+"batch-s")
	b.ReportMetric(mean(w.gang)/1000, prefix+"gang-s")
	b.ReportMetric(maximum(w.gang)/1000, prefix+"gang-max-s")
}

// replay runs the jobs through the scheduler. lost is the fraction of processor time
// wasted by preemption.
func replay(m workload, all []arrival) (w *waitTimes, lost float64) {
	const stopTime = 100 // milliseconds that a stopped attempt takes to end
	h := newHarness()
	h.workers(replayWorkers, m.worker)
	w = &waitTimes{}
	jobs := make(map[string]arrival)
	remaining := make(map[string]int64) // milliseconds of run time left, by "job/index"
	started := make(map[string]bool)    // tasks that have started at least once
	stopping := make(map[string]bool)
	var ends endHeap
	var done, wasted float64
	key := func(a *apiv1.Attempt) string { return fmt.Sprintf("%s/%d", a.GetJob(), a.GetIndex()) }
	wake := int64(0)
	for next := 0; next < len(all) || len(ends) > 0; {
		at := int64(math.MaxInt64)
		if next < len(all) {
			at = startMs + all[next].at
		}
		if len(ends) > 0 {
			at = min(at, ends[0].at)
		}
		if wake > h.now {
			at = min(at, wake)
		}
		h.now = max(h.now, at)
		for ; next < len(all) && startMs+all[next].at <= h.now; next++ {
			jobs[all[next].job.GetName()] = all[next]
			h.publish(all[next].job)
		}
		for len(ends) > 0 && ends[0].at <= h.now {
			id := heap.Pop(&ends).(taskEnd).id
			a, ok := h.running[id]
			if !ok {
				continue
			}
			ran := h.now - h.startAt[id]
			cpu := float64(ran * a.GetResources().GetCpuMillis())
			j := h.jobs[a.GetJob()]
			switch {
			case !stopping[id]:
				done += cpu
				h.finish(id)
			case j.GetCheckpoint():
				done += cpu
				remaining[key(a)] = max(1, remaining[key(a)]-ran)
				h.requeue(id)
			default:
				wasted += cpu
				h.requeue(id)
			}
		}
		d := h.cell.Schedule(h.now, 1<<20)
		wake = d.NextRoundAt
		for _, id := range d.Stop {
			stopping[id] = true
			heap.Push(&ends, taskEnd{at: h.now + stopTime, id: id})
		}
		h.carryOut(d)
		for _, a := range placed(d) {
			arrived := jobs[a.GetJob()]
			if !started[key(a)] {
				started[key(a)] = true
				remaining[key(a)] = arrived.runMs[a.GetIndex()]
				w.add(arrived.job, h.now-startMs-arrived.at)
			}
			heap.Push(&ends, taskEnd{at: h.now + remaining[key(a)], id: a.GetId()})
		}
	}
	return w, wasted / max(1, done+wasted)
}

// firstComeFirstServed runs the jobs strictly in order of arrival, each task on the
// first worker that fits it. A job that does not fit blocks all later ones.
func firstComeFirstServed(m workload, all []arrival) *waitTimes {
	w := &waitTimes{}
	free := make([]resources.Amount, replayWorkers)
	for i := range free {
		free[i] = m.worker
	}
	type allocation struct {
		worker int
		amount resources.Amount
	}
	var ends endHeap
	allocations := make(map[string]allocation)
	now := int64(0)
	serial := 0
	place := func(amount resources.Amount) int {
		return slices.IndexFunc(free, amount.FitsIn)
	}
	release := func() {
		end := heap.Pop(&ends).(taskEnd)
		now = max(now, end.at)
		released := allocations[end.id]
		delete(allocations, end.id)
		free[released.worker] = free[released.worker].Plus(released.amount)
	}
	for _, arrived := range all {
		now = max(now, arrived.at)
		for len(ends) > 0 && ends[0].at <= now {
			release()
		}
		amount := resources.FromMessage(arrived.job.GetResources())
		group := 1
		if arrived.job.GetKind() == apiv1.JobKind_JOB_KIND_GANG {
			group = len(arrived.runMs)
		}
		for task := 0; task < len(arrived.runMs); task += group {
			for {
				fit := 0
				for _, f := range free {
					fit += f.FitCount(amount, group)
				}
				if fit >= group {
					break
				}
				release()
			}
			for i := task; i < task+group; i++ {
				at := place(amount)
				free[at] = free[at].Minus(amount)
				serial++
				id := fmt.Sprint(serial)
				allocations[id] = allocation{worker: at, amount: amount}
				heap.Push(&ends, taskEnd{at: now + arrived.runMs[i], id: id})
				w.add(arrived.job, now-arrived.at)
			}
		}
	}
	return w
}

// BenchmarkWaiting compares waiting times with strict first come, first served, and
// reports the processor time wasted by preemption.
func BenchmarkWaiting(b *testing.B) {
	for _, m := range []workload{despacho(), sagarmatha()} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				all := generateArrivals(m)
				w, lost := replay(m, all)
				w.report(b, "")
				firstComeFirstServed(m, all).report(b, "fcfs-")
				b.ReportMetric(100*lost, "preemption-lost-%")
				b.ReportMetric(float64(len(all)), "jobs")
			}
		})
	}
}
