package dispatch

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestOnlyReportsOfMoreCapacityAreOutdated(t *testing.T) {
	const now = 100_000 // on the worker's clock
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.eventually("the worker is known", func() bool { return w1.holdCount() > 0 })
	p := d.pool(testService)
	reported := func(clockMs int64, change func(*apiv1.PoolWorker)) bool {
		report := proto.CloneOf(w1.record)
		report.ClockMs = clockMs
		change(report)
		p.mu.Lock()
		p.workers["w1"].clockMs = now
		p.mu.Unlock()
		return d.IsOutdated(report)
	}
	grow := func(report *apiv1.PoolWorker) { report.CpuMillis = 4000 }
	is.True(reported(now-maxReportAgeMs-1, grow))
	is.True(reported(now-maxReportAgeMs-1, func(report *apiv1.PoolWorker) { report.CpuMillis, report.Accelerators = 1000, 1 }))
	is.True(!reported(now-maxReportAgeMs, grow))
	is.True(!reported(now+1, grow))
	is.True(!reported(0, grow)) // its age is unknown
	is.True(!reported(1, func(report *apiv1.PoolWorker) { report.CpuMillis = 1000 }))
	is.True(!reported(1, func(*apiv1.PoolWorker) {}))
	for _, change := range []func(*apiv1.PoolWorker){
		func(report *apiv1.PoolWorker) { report.Draining = true },
		func(report *apiv1.PoolWorker) { report.Gone = true },
		func(report *apiv1.PoolWorker) { report.BornUnixMs++ }, // whose clock is another one
		func(report *apiv1.PoolWorker) { report.Id = "w2" },
		func(report *apiv1.PoolWorker) { report.Service = "another" },
	} {
		is.True(!reported(1, func(report *apiv1.PoolWorker) {
			grow(report)
			change(report)
		}))
	}
	is.Equal(d.counters.outdatedReports.Count(), int64(2))
}
