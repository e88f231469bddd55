package slopes_test

import (
	"runtime"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// BenchmarkState prints how the heap bytes, the snapshot's bytes and the processor
// time of a snapshot grow with the number of objects of each kind.
func BenchmarkState(b *testing.B) {
	for _, kind := range []struct {
		name  string
		sizes []int
		build func(c *cell, size int)
	}{
		{"job of 2 tasks", []int{600, 1200, 2400}, func(c *cell, size int) { c.publish(configuration(size)) }},
		{"endpoint", []int{400, 800, 1600}, announceEndpoints},
		{"running task", []int{1000, 2000, 4000}, runTasks},
		{"worker", []int{140, 275, 550}, func(c *cell, size int) { c.registerWorkers(size) }},
		{"publication recorded", []int{100, 200, 400}, publishRepeatedly},
		{"kept claim, 256-byte answer", []int{10_000, 20_000, 40_000}, keepClaims},
	} {
		snapshots, snapshotMicros := map[int]float64{}, map[int]float64{}
		measure("heap", "B", kind.name, kind.sizes, func(size int) float64 {
			c, bytes := retainedHeap(func() *cell {
				c := newCell(b)
				kind.build(c, size)
				return c
			})
			snapshots[size] = c.snapshotBytes()
			snapshotMicros[size] = medianMicroseconds(b, 3, func(watch *stopwatch) {
				watch.start()
				c.snapshotBytes()
				watch.stop()
			})
			runtime.KeepAlive(c)
			return bytes
		})
		measure("snapshot", "B", kind.name, kind.sizes, func(size int) float64 { return snapshots[size] })
		measure("snapshot, processor", "µs", kind.name, kind.sizes, func(size int) float64 { return snapshotMicros[size] })
	}
}

func announceEndpoints(c *cell, size int) {
	for i := range size {
		c.apply(announceCommand(i, 1))
	}
}

// runTasks places size tasks of 20 jobs on statedWorkers workers.
func runTasks(c *cell, size int) {
	const jobs = 20
	published := &apiv1.Configuration{Teams: []*apiv1.Team{{Name: team(0)}}}
	for i := range jobs {
		published.Jobs = append(published.Jobs, job(jobName(i), team(0), size/jobs))
	}
	c.publish(published)
	c.registerWorkers(statedWorkers)
	for i := range jobs {
		c.placeTasks(jobName(i), size/jobs, statedWorkers)
	}
	c.taskTable().DrainFullState()
}

func jobName(i int) string { return configuration(i + 1).GetJobs()[i].GetName() }

// keepClaims takes and settles size claims, in batches of 500.
func keepClaims(c *cell, size int) {
	const batch = 500
	for first := 0; first < size; first += batch {
		c.apply(takeCommand(first, batch))
		c.apply(settleCommand(first, batch))
	}
}

// publishRepeatedly publishes size times, with a change of one of ten jobs each time,
// so that the audit trail and the list of publications grow.
func publishRepeatedly(c *cell, size int) {
	for i := range size {
		published := configuration(10)
		published.Jobs[0].ExpectedRunMs += int64(i + 1)
		c.publish(published)
	}
}
