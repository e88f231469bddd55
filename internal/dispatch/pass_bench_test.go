package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/state/jobs"
)

// BenchmarkPassUnderBacklog measures a scheduling pass over a full pool of the
// target size, with gangs and single tasks waiting.
func BenchmarkPassUnderBacklog(b *testing.B) {
	const workers, gangs, singles = 550, 150, 150
	p := fullPool(workers)
	fillBacklog(p, gangs, singles, func(int) string { return "" })
	b.ResetTimer()
	for range b.N {
		p.runPass()
	}
}

// BenchmarkPassWithWorkspaces measures a pass like the former one, with as many units as
// workspaces at most. A third of the workspaces uses up its cap.
func BenchmarkPassWithWorkspaces(b *testing.B) {
	const workers, gangs, singles = 550, 150, 1850
	for _, workspaces := range []int{0, 20, 2000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			p := fullPool(workers)
			catalog := &apiv1.Catalog{Version: 1}
			for i := range workspaces {
				name := fmt.Sprint(i)
				limit := int64(1e9)
				if i%3 == 0 {
					limit = 1000
					p.d.ledger.addRun(&run{workspace: name, countedSize: resources{cpu: limit}})
				}
				p.occupied[name] = resources{cpu: 1000}
				catalog.Workspaces = append(catalog.Workspaces, &apiv1.Workspace{Name: name, Weight: float64(1 + i%7), CapCpuMillis: limit, KeyDigests: [][]byte{keyOf(name)}})
			}
			p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: catalog})
			fillBacklog(p, gangs, singles, func(i int) string {
				if workspaces == 0 {
					return ""
				}
				return fmt.Sprint(i % workspaces)
			})
			b.ResetTimer()
			for range b.N {
				p.runPass()
			}
		})
	}
}

// BenchmarkPassOverParkedUnits measures a pass over a backlog for which nothing has changed since the last one.
func BenchmarkPassOverParkedUnits(b *testing.B) {
	const workers, workspaces = 350, 20
	for _, units := range []int{1000, 10_000} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			p := fullPool(workers)
			catalog := &apiv1.Catalog{Version: 1}
			for i := range workspaces {
				catalog.Workspaces = append(catalog.Workspaces, weightedWorkspace(fmt.Sprint(i), 1))
			}
			p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: catalog})
			gangs := units / 20
			fillBacklog(p, gangs, units-gangs, func(i int) string { return fmt.Sprint(i % workspaces) })
			p.runPass()
			b.ResetTimer()
			for range b.N {
				p.runPass()
			}
			b.ReportMetric(float64(p.d.counters.unitsTried.Count())/float64(b.N), "tries/op")
		})
	}
}

// fillBacklog adds waiting gangs and single tasks to the pool, each a job of the workspace for its
// number.
func fillBacklog(p *pool, gangs, singles int, workspace func(i int) string) {
	random := rand.New(rand.NewSource(1))
	for i := range gangs + singles {
		step := &apiv1.JobStep{Count: 20, CpuMillis: 4000, MemoryMb: 4000, EstimateMs: 4000, Gang: i < gangs}
		j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
			Id: fmt.Sprintf("%016x", i), Queue: restrictedQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
			AcceptedUnixMs: time.Now().UnixMilli(), Workspace: workspace(i),
		}}, time.Now(), time.Now().UnixMilli())
		u := j.units[0]
		values := make(map[string]string)
		for id := range p.workers {
			if random.Intn(3) == 0 {
				values[id] = "ticket"
			}
		}
		u.advice.recordAnswer(p.workerList, values, time.Now().Add(time.Hour))
		p.insertJob(j)
	}
}

// fullPool returns a pool whose workers have no free CPU.
func fullPool(workers int) *pool {
	d := New(context.Background(), Config{
		Table: jobs.New(), Clock: clock.System{}, Logger: slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(), Timing: Timing{MaxLease: time.Hour},
	}, 1)
	d.leaderLease.renewLease(d.Clock.Read())
	d.spawnClosed = true // no requests are sent
	p := newPool(d, testService)
	busy := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{Id: "busy", Queue: testQueue(), Spec: &apiv1.JobSpec{
		Steps: []*apiv1.JobStep{{Count: 1, CpuMillis: 2000, MemoryMb: 1000, EstimateMs: 3600_000}},
	}}}, time.Now(), time.Now().UnixMilli())
	for i := range workers {
		record := newFakeWorker(fmt.Sprintf("i-%010x", i), 16000).record
		w := newWorker(record)
		w.synced = true
		for n := range 8 {
			r := &run{
				task: busy.units[0].tasks[0], name: fmt.Sprintf("busy.0.0.%d", n), number: 1, worker: w,
				size: busy.units[0].size, phase: phaseActive, startSent: time.Now(),
			}
			w.runs[r.key()] = r
			w.free.subtract(r.size)
		}
		p.workers[record.GetId()] = w
		p.workerList = append(p.workerList, w)
	}
	return p
}

// BenchmarkPassWithTurnover measures a pass over a long backlog, between two of which a hundred runs end. Each leaves room
// for one of the tasks that wait, and most tickets have expired.
func BenchmarkPassWithTurnover(b *testing.B) {
	const workers, gangs, singles, workspaces, ends = 350, 800, 2200, 20, 100
	p := fullPool(workers)
	catalog := &apiv1.Catalog{Version: 1}
	for i := range workspaces {
		catalog.Workspaces = append(catalog.Workspaces, weightedWorkspace(fmt.Sprint(i), 1))
	}
	p.d.Table.Apply(0, &apiv1.JobsCommand{Catalog: catalog})
	fillBacklog(p, gangs, singles, func(i int) string { return fmt.Sprint(i % workspaces) })
	random := rand.New(rand.NewSource(1))
	for _, j := range p.jobs {
		for _, t := range j.units[0].advice.allowedTickets {
			if random.Intn(4) > 0 {
				t.expires = time.Time{}
			}
		}
	}
	p.runPass()
	b.ResetTimer()
	for range b.N {
		for range ends {
			w := p.workerList[random.Intn(workers)]
			for _, r := range w.runs {
				w.removeRun(r)
				if r.task.run == r {
					r.task.setRun(nil)
				}
				break
			}
		}
		p.runPass()
	}
	b.ReportMetric(float64(p.d.counters.unitsTried.Count())/float64(b.N), "tries/op")
	b.ReportMetric(float64(p.d.counters.startsSent.Count())/float64(b.N), "starts/op")
}
