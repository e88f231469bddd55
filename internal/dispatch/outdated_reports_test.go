package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestOnlyReportsOfMoreCapacityAreOutdated(t *testing.T) {
	const clockMs = 100_000
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.eventually("the worker is known", func() bool { return w1.holdCount() > 0 })
	p := d.pool(testService)
	report := func(age time.Duration, change func(*apiv1.PoolWorker)) *apiv1.PoolWorker {
		reported := proto.CloneOf(w1.record)
		reported.ClockMs = clockMs - age.Milliseconds()
		change(reported)
		return reported
	}
	outdated := func(age time.Duration, change func(*apiv1.PoolWorker)) bool {
		p.mu.Lock()
		p.workers["w1"].clockMs, p.workers["w1"].clockAt = clockMs, time.Now()
		p.mu.Unlock()
		return d.IsOutdated(w1.record, report(age, change))
	}
	grow := func(report *apiv1.PoolWorker) { report.CpuMillis = 4000 }
	const late = time.Minute
	is.True(outdated(late, grow))
	is.True(outdated(late, func(report *apiv1.PoolWorker) { report.CpuMillis, report.Accelerators = 1000, 1 }))
	is.True(!outdated(-late, grow))
	is.True(!outdated(late, func(report *apiv1.PoolWorker) { report.CpuMillis = 1000 }))
	is.True(!outdated(late, func(*apiv1.PoolWorker) {}))
	for _, change := range []func(*apiv1.PoolWorker){
		func(report *apiv1.PoolWorker) { report.ClockMs = 0 }, // its age is unknown
		func(report *apiv1.PoolWorker) { report.Draining = true },
		func(report *apiv1.PoolWorker) { report.Gone = true },
		func(report *apiv1.PoolWorker) { report.BornUnixMs++ }, // whose clock is another one
		func(report *apiv1.PoolWorker) { report.Id = "w2" },
		func(report *apiv1.PoolWorker) { report.Service = "another" },
	} {
		is.True(!outdated(late, func(report *apiv1.PoolWorker) {
			grow(report)
			change(report)
		}))
	}
	is.Equal(d.counters.outdatedReports.Count(), int64(2))

	// The age counts on while the worker answers nothing.
	w, now := newWorker(w1.record), time.Now()
	p = &pool{workers: map[string]*worker{"w1": w}}
	is.True(!p.isOutdated(report(late, grow), now)) // no reading of the clock is known
	w.clockMs, w.clockAt = clockMs, now
	is.True(!p.isOutdated(report(maxReportAge, grow), now))
	is.True(p.isOutdated(report(maxReportAge+time.Millisecond, grow), now))
	is.True(!p.isOutdated(report(0, grow), now.Add(maxReportAge)))
	is.True(p.isOutdated(report(0, grow), now.Add(2*maxReportAge)))
}
