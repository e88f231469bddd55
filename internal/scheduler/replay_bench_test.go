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
	replayWorkers  = 100
	replayLength   = 2 * 60 * 60 * 1000 // milliseconds
	replayLoad     = 0.9                // of the scarcer resource
	urgentEvery    = 2000               // milliseconds
	urgentRun      = 1000               // milliseconds
	gangShare      = 0.1                // of the batch and gang jobs
	checkpointOdds = 0.5
)

// arrival is a job of the replayed stream.
type arrival struct {
	at   int64
	job  *apiv1.Job
	runs []int64 // of each task; the declared run time may be ten times off
}

// stream makes up two hours of one user's work.
func stream(m mix) []arrival {
	r := rand.New(rand.NewPCG(4, 4))
	var all []arrival
	capacity := m.worker.Times(replayWorkers)
	var work resources.Amount // times milliseconds
	limit := func(whole int64) float64 { return replayLoad * float64(whole) * replayLength }
	for i := 0; float64(work.CPU) < limit(capacity.CPU) && float64(work.Memory/gib) < limit(capacity.Memory/gib); i++ {
		amount, run := m.batch(r)
		j := batchJob(fmt.Sprintf("j%06d", i), amount, 1+r.Int32N(8))
		if r.Float64() < gangShare {
			j.Kind = apiv1.JobKind_JOB_KIND_GANG
			amount, j.Count = m.gang(r)
			j.Resources = amount.Message()
		}
		j.ExpectedRunMs = run
		j.Checkpoint = r.Float64() < checkpointOdds
		if r.IntN(2) == 0 {
			j.Class = apiv1.Class_CLASS_BULK
		}
		one := arrival{at: r.Int64N(replayLength), job: j}
		actual := int64(float64(run) * math.Pow(10, 2*r.Float64()-1))
		for range j.GetCount() {
			one.runs = append(one.runs, actual)
			work = work.Plus(resources.Amount{CPU: amount.CPU * actual, Memory: amount.Memory * actual})
		}
		all = append(all, one)
	}
	for at := int64(0); at < replayLength; at += urgentEvery {
		j := batchJob(fmt.Sprintf("u%06d", at), m.urgent, 1)
		j.Class = apiv1.Class_CLASS_URGENT
		j.ExpectedRunMs = urgentRun
		all = append(all, arrival{at: at, job: j, runs: []int64{urgentRun}})
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// ending is a running task's end.
type ending struct {
	at int64
	id string
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// waits collects waiting times in milliseconds.
type waits struct {
	urgent, batch, gang []float64
}

func (w *waits) add(j *apiv1.Job, ms int64) {
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
	for _, one := range all {
		sum += one
	}
	return sum / float64(max(1, len(all)))
}

func worst(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all)
}

func (w *waits) report(b *testing.B, prefix string) {
	b.ReportMetric(mean(w.urgent)/1000, prefix+"urgent-s")
	b.ReportMetric(worst(w.urgent)/1000, prefix+"urgent-max-s")
	b.ReportMetric(mean(w.batch)/1000, prefix+"batch-s")
	b.ReportMetric(mean(w.gang)/1000, prefix+"gang-s")
	b.ReportMetric(worst(w.gang)/1000, prefix+"gang-max-s")
}

// replay runs the stream through the scheduler. lost is the share of the
// processor time that preemption threw away.
func replay(m mix, all []arrival) (w *waits, lost float64) {
	const stopTime = 100 // milliseconds that a stopped task takes to end
	world := newWorld()
	world.workers(replayWorkers, m.worker)
	w = &waits{}
	jobs := make(map[string]arrival)
	left := make(map[string]int64) // run time left, by job and index
	first := make(map[string]bool) // tasks that have started once
	stopping := make(map[string]bool)
	var ends endings
	var done, thrown float64
	key := func(a *apiv1.Attempt) string { return fmt.Sprintf("%s/%d", a.GetJob(), a.GetIndex()) }
	wake := int64(0)
	for next := 0; next < len(all) || len(ends) > 0; {
		at := int64(math.MaxInt64)
		if next < len(all) {
			at = begin + all[next].at
		}
		if len(ends) > 0 {
			at = min(at, ends[0].at)
		}
		if wake > world.now {
			at = min(at, wake)
		}
		world.now = max(world.now, at)
		for ; next < len(all) && begin+all[next].at <= world.now; next++ {
			jobs[all[next].job.GetName()] = all[next]
			world.publish(all[next].job)
		}
		for len(ends) > 0 && ends[0].at <= world.now {
			id := heap.Pop(&ends).(ending).id
			a, ok := world.running[id]
			if !ok {
				continue
			}
			ran := world.now - world.startAt[id]
			cpu := float64(ran * a.GetResources().GetCpuMillis())
			j := world.jobs[a.GetJob()]
			switch {
			case !stopping[id]:
				done += cpu
				world.finish(id)
			case j.GetCheckpoint():
				done += cpu
				left[key(a)] = max(1, left[key(a)]-ran)
				world.again(id)
			default:
				thrown += cpu
				world.again(id)
			}
		}
		d := world.cell.Schedule(world.now, 1<<20)
		wake = d.NextRoundAt
		for _, id := range d.Stop {
			stopping[id] = true
			heap.Push(&ends, ending{at: world.now + stopTime, id: id})
		}
		world.carryOut(d)
		for _, a := range placed(d) {
			one := jobs[a.GetJob()]
			if !first[key(a)] {
				first[key(a)] = true
				left[key(a)] = one.runs[a.GetIndex()]
				w.add(one.job, world.now-begin-one.at)
			}
			heap.Push(&ends, ending{at: world.now + left[key(a)], id: a.GetId()})
		}
	}
	return w, thrown / max(1, done+thrown)
}

// inOrder runs the stream strictly first come, first served, on the first
// worker with room: a job that does not fit holds up all after it.
func inOrder(m mix, all []arrival) *waits {
	w := &waits{}
	free := make([]resources.Amount, replayWorkers)
	for i := range free {
		free[i] = m.worker
	}
	type held struct {
		worker int
		amount resources.Amount
	}
	var ends endings
	holds := make(map[string]held)
	now := int64(0)
	serial := 0
	place := func(amount resources.Amount) int {
		return slices.IndexFunc(free, amount.FitsIn)
	}
	release := func() {
		one := heap.Pop(&ends).(ending)
		now = max(now, one.at)
		h := holds[one.id]
		delete(holds, one.id)
		free[h.worker] = free[h.worker].Plus(h.amount)
	}
	for _, one := range all {
		now = max(now, one.at)
		for len(ends) > 0 && ends[0].at <= now {
			release()
		}
		amount := resources.FromMessage(one.job.GetResources())
		whole := 1
		if one.job.GetKind() == apiv1.JobKind_JOB_KIND_GANG {
			whole = len(one.runs)
		}
		for task := 0; task < len(one.runs); task += whole {
			for {
				room := 0
				for _, f := range free {
					room += f.FitCount(amount, whole)
				}
				if room >= whole {
					break
				}
				release()
			}
			for i := task; i < task+whole; i++ {
				at := place(amount)
				free[at] = free[at].Minus(amount)
				serial++
				id := fmt.Sprint(serial)
				holds[id] = held{worker: at, amount: amount}
				heap.Push(&ends, ending{at: now + one.runs[i], id: id})
				w.add(one.job, now-one.at)
			}
		}
	}
	return w
}

// BenchmarkWaiting compares waiting times with strict first come, first served,
// and reports what preemption throws away.
func BenchmarkWaiting(b *testing.B) {
	for _, m := range []mix{despacho(), sagarmatha()} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				all := stream(m)
				w, lost := replay(m, all)
				w.report(b, "")
				inOrder(m, all).report(b, "fcfs-")
				b.ReportMetric(100*lost, "preemption-lost-%")
				b.ReportMetric(float64(len(all)), "jobs")
			}
		})
	}
}
