package slopes_test

import (
	"fmt"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

const maxPlansPerRound = 512 // passed to each round

// schedulingCell is a store and the scheduler's cell, which is updated with the store's
// changes.
type schedulingCell struct {
	*cell
	schedulerCell *scheduler.Cell
	serial        int   // of the last job published
	now           int64 // Unix milliseconds
}

// BenchmarkRound prints how the processor time of a scheduling round grows with the
// numbers of workers, of running tasks and of placements.
func BenchmarkRound(b *testing.B) {
	measure("round of 8 placements", "µs", "worker, 1,000 tasks", []int{140, 275, 550}, func(size int) float64 {
		return newSchedulingCell(b, size, 1000).roundTime(8)
	})
	measure("round of 8 placements", "µs", "running task, 550 workers", []int{1000, 2000, 4000}, func(size int) float64 {
		return newSchedulingCell(b, statedWorkers, size).roundTime(8)
	})
	measure("round, 550 workers, 4,000 tasks", "µs", "placement", []int{1, 8, 64, 256}, func(size int) float64 {
		return newSchedulingCell(b, statedWorkers, statedTasks).roundTime(size)
	})
}

// newSchedulingCell returns a cell in which the given number of tasks run.
func newSchedulingCell(b *testing.B, workers, running int) *schedulingCell {
	s := &schedulingCell{cell: newCell(b), schedulerCell: scheduler.NewCell(), now: startUnixMs}
	s.registerWorkers(workers)
	s.publish(s.configurationWithJob("", running))
	s.schedulerCell.Update(s.now, s.taskTable().DrainFullState())
	for s.applyDecision(s.schedulerCell.Schedule(s.now, maxPlansPerRound)) > 0 {
	}
	return s
}

// configurationWithJob returns, if newJob is empty, a configuration of 20 jobs with
// count tasks together, and otherwise the current configuration with the first 20
// jobs and a job of that name with count tasks.
func (s *schedulingCell) configurationWithJob(newJob string, count int) *apiv1.Configuration {
	if newJob == "" {
		configured := &apiv1.Configuration{Teams: []*apiv1.Team{{Name: team(0)}}}
		for i := range 20 {
			configured.Jobs = append(configured.Jobs, job(jobName(i), team(0), count/20))
		}
		return configured
	}
	configured, _ := s.store.Configuration()
	configured.Jobs = append(configured.Jobs[:20:20], job(newJob, team(0), count))
	return configured
}

// roundTime returns the processor time, in microseconds, of a round that places the
// count tasks of a new job.
func (s *schedulingCell) roundTime(count int) float64 {
	return medianMicroseconds(s.b, 20, func(watch *stopwatch) {
		s.serial++
		s.publish(s.configurationWithJob(fmt.Sprintf("turn-%06d", s.serial), count))
		s.schedulerCell.Update(s.now, s.taskTable().DrainChanges())
		watch.start()
		decision := s.schedulerCell.Schedule(s.now, maxPlansPerRound)
		watch.stop()
		if placed := s.applyDecision(decision); placed != count {
			s.b.Fatalf("a round placed %d tasks, want %d", placed, count)
		}
		s.succeedTasks(decision)
	})
}

// applyDecision applies the plans of a decision and returns their number.
func (s *schedulingCell) applyDecision(decision *scheduler.Decision) int {
	if len(decision.Plans) == 0 {
		return 0
	}
	s.placePlans(decision.Plans)
	s.schedulerCell.Update(s.now, s.taskTable().DrainChanges())
	return len(decision.Plans)
}

// succeedTasks reports all attempts of a decision as succeeded.
func (s *schedulingCell) succeedTasks(decision *scheduler.Decision) {
	command := &apiv1.PlacementCommand{}
	for _, plan := range decision.Plans {
		for _, a := range plan.GetAttempts() {
			command.Reports = append(command.Reports, &apiv1.AttemptReport{
				Attempt: a.GetId(), Worker: a.GetWorker(), Boot: a.GetBoot(), Phase: apiv1.AttemptReport_PHASE_SUCCEEDED,
			})
		}
	}
	s.apply(placementCommand(command))
	s.schedulerCell.Update(s.now, s.taskTable().DrainChanges())
}

// decidedPlans returns the plans of a round that places count tasks.
func decidedPlans(b *testing.B, count int) []*apiv1.GangPlan {
	s := newSchedulingCell(b, statedWorkers, 1000)
	s.publish(s.configurationWithJob("turn", count))
	s.schedulerCell.Update(s.now, s.taskTable().DrainChanges())
	return s.schedulerCell.Schedule(s.now, maxPlansPerRound).Plans
}
