package slopes_test

import (
	"fmt"
	"testing"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
)

const planLimit = 512 // plans of one round

// scheduling is a store and the scheduler that follows its tasks.
type scheduling struct {
	*cell
	follows *scheduler.Cell
	serial  int
	now     int64 // Unix milliseconds
}

// BenchmarkRound prints the processor time of a scheduling round.
func BenchmarkRound(b *testing.B) {
	measure("round of 8 placements", "µs", "worker, 1,000 tasks", []int{140, 275, 550}, func(size int) float64 {
		return newScheduling(b, size, 1000).rounds(8)
	})
	measure("round of 8 placements", "µs", "running task, 550 workers", []int{1000, 2000, 4000}, func(size int) float64 {
		return newScheduling(b, statedWorker, size).rounds(8)
	})
	measure("round, 550 workers, 4,000 tasks", "µs", "placement", []int{1, 8, 64, 256}, func(size int) float64 {
		return newScheduling(b, statedWorker, statedTasks).rounds(size)
	})
}

func newScheduling(b *testing.B, workers, running int) *scheduling {
	s := &scheduling{cell: newCell(b), follows: scheduler.NewCell(), now: begin}
	s.register(workers)
	s.publish(s.configured("", running))
	s.follows.Update(s.now, s.table().DrainFullState())
	for s.carryOut(s.follows.Schedule(s.now, planLimit)) > 0 {
	}
	return s
}

// configured has running tasks in 20 jobs, and those of one job more.
func (s *scheduling) configured(more string, count int) *apiv1.Configuration {
	if more == "" {
		configured := &apiv1.Configuration{Teams: []*apiv1.Team{{Name: team(0)}}}
		for i := range 20 {
			configured.Jobs = append(configured.Jobs, job(jobName(i), team(0), count/20))
		}
		return configured
	}
	configured, _ := s.store.Configuration()
	configured.Jobs = append(configured.Jobs[:20:20], job(more, team(0), count))
	return configured
}

// rounds returns the processor time in microseconds of a round that places
// the tasks of one new job.
func (s *scheduling) rounds(count int) float64 {
	return microseconds(s.b, 20, func(watch *stopwatch) {
		s.serial++
		s.publish(s.configured(fmt.Sprintf("turn-%06d", s.serial), count))
		s.follows.Update(s.now, s.table().DrainChanges())
		watch.start()
		decision := s.follows.Schedule(s.now, planLimit)
		watch.stop()
		if placed := s.carryOut(decision); placed != count {
			s.b.Fatalf("a round placed %d tasks, want %d", placed, count)
		}
		s.end(decision)
	})
}

func (s *scheduling) carryOut(decision *scheduler.Decision) int {
	if len(decision.Plans) == 0 {
		return 0
	}
	s.placeBatch(decision.Plans)
	s.follows.Update(s.now, s.table().DrainChanges())
	return len(decision.Plans)
}

func (s *scheduling) end(decision *scheduler.Decision) {
	command := &apiv1.PlacementCommand{}
	for _, plan := range decision.Plans {
		for _, a := range plan.GetAttempts() {
			command.Reports = append(command.Reports, &apiv1.AttemptReport{
				Attempt: a.GetId(), Worker: a.GetWorker(), Boot: a.GetBoot(), Phase: apiv1.AttemptReport_PHASE_SUCCEEDED,
			})
		}
	}
	s.apply(placement(command))
	s.follows.Update(s.now, s.table().DrainChanges())
}

// decidedPlans returns the plans of a round that places the given number of tasks.
func decidedPlans(b *testing.B, count int) []*apiv1.GangPlan {
	s := newScheduling(b, statedWorker, 1000)
	s.publish(s.configured("turn", count))
	s.follows.Update(s.now, s.table().DrainChanges())
	return s.follows.Schedule(s.now, planLimit).Plans
}
