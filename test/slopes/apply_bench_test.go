package slopes_test

import (
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

var batchSizes = []int{1, 8, 64, 256}

// BenchmarkApply prints how the processor time of applying a command grows with the
// command's size.
func BenchmarkApply(b *testing.B) {
	c := newCell(b)
	next := 0
	measure("apply take + settle", "µs", "claim in the batch", batchSizes, func(size int) float64 {
		return medianMicroseconds(b, 20, func(watch *stopwatch) {
			take, settle := takeCommand(next, size), settleCommand(next, size)
			next += size
			watch.start()
			c.apply(take)
			c.apply(settle)
			watch.stop()
		})
	})
	measure("apply publication, one job changed", "µs", "job", []int{600, 1200, 2400}, applyPublication(b))
	measure("apply plans + running + end", "µs", "task in the batch", batchSizes, applyPlacement(b))
	measure("apply announcement", "µs", "endpoint in the batch", batchSizes, func(size int) float64 {
		c := newCell(b)
		return medianMicroseconds(b, 20, func(watch *stopwatch) {
			command := announceCommand(0, size)
			for _, e := range command.GetEndpoint().GetAnnounce() {
				e.Slots += int32(c.index % 2)
			}
			watch.start()
			c.apply(command)
			watch.stop()
		})
	})
}

// applyPublication measures a publication that changes one job.
func applyPublication(b *testing.B) func(size int) float64 {
	return func(size int) float64 {
		c := newCell(b)
		return medianMicroseconds(b, 5, func(watch *stopwatch) {
			published := configuration(size)
			published.Jobs[0].ExpectedRunMs += int64(c.index)
			watch.start()
			c.publish(published)
			watch.stop()
		})
	}
}

// applyPlacement measures the commands that start and end a batch of tasks, in a cell
// with 4,000 other running tasks.
func applyPlacement(b *testing.B) func(size int) float64 {
	const rounds = 20
	return func(size int) float64 {
		c := newCell(b)
		runTasks(c, statedTasks)
		extended, _ := c.store.Configuration()
		extended.Jobs = append(extended.Jobs, job("turn", team(0), size*rounds*trials))
		c.publish(extended)
		next := 0
		return medianMicroseconds(b, rounds, func(watch *stopwatch) {
			plans, running, ended := plansAndReports(next, size)
			next += size
			watch.start()
			c.placePlans(plans)
			c.apply(placementCommand(&apiv1.PlacementCommand{Reports: running}))
			c.apply(placementCommand(&apiv1.PlacementCommand{Reports: ended}))
			c.taskTable().DrainChanges()
			watch.stop()
		})
	}
}

// plansAndReports returns the plans of count tasks and the reports of their start and
// their end.
func plansAndReports(first, count int) (plans []*apiv1.GangPlan, running, ended []*apiv1.AttemptReport) {
	for i := first; i < first+count; i++ {
		on, id := i%statedWorkers, attemptID("turn", i, 1)
		plans = append(plans, plan("turn", i, on, 1))
		running = append(running, report(id, on, apiv1.AttemptReport_PHASE_RUNNING))
		ended = append(ended, report(id, on, apiv1.AttemptReport_PHASE_SUCCEEDED))
	}
	return plans, running, ended
}

// BenchmarkLog prints how the bytes of a command in the log grow with its size.
func BenchmarkLog(b *testing.B) {
	type tableRow struct {
		name, per string
		sizes     []int
		command   func(size int) *apiv1.Command
	}
	for _, row := range []tableRow{
		{"log, take", "claim in the batch", batchSizes, func(n int) *apiv1.Command { return takeCommand(0, n) }},
		{"log, settle with 256-byte answer", "claim in the batch", batchSizes, func(n int) *apiv1.Command { return settleCommand(0, n) }},
		{"log, plans", "task in the batch", batchSizes, func(n int) *apiv1.Command {
			return placementCommand(&apiv1.PlacementCommand{Plans: decidedPlans(b, n)})
		}},
		{"log, reports", "report in the batch", batchSizes, func(n int) *apiv1.Command {
			_, running, _ := plansAndReports(0, n)
			return placementCommand(&apiv1.PlacementCommand{Reports: running})
		}},
		{"log, publication", "job", []int{600, 1200, 2400}, func(n int) *apiv1.Command { return publishCommand(1, configuration(n)) }},
		{"log, announcement", "endpoint in the batch", batchSizes, func(n int) *apiv1.Command { return announceCommand(0, n) }},
	} {
		measure(row.name, "B", row.per, row.sizes, func(size int) float64 { return logBytes(b, row.command(size)) })
	}
}
