package placement_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

// simulation drives a table and a cell as the controller does, and simulates the
// workers by random reports.
type simulation struct {
	t     *rapid.T
	table *tasks.Table
	cell  *scheduler.Cell
	now   int64
	boots map[string]int
	jobs  map[string]*apiv1.Job
	teams map[string]resources.Amount
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{
		t:     t,
		table: tasks.New(),
		cell:  scheduler.NewCell(),
		now:   epoch.UnixMilli(),
		boots: make(map[string]int),
		jobs:  make(map[string]*apiv1.Job),
		teams: make(map[string]resources.Amount),
	}
}

func (s *simulation) apply(command *apiv1.PlacementCommand) *apiv1.PlacementResult {
	return s.table.Apply(s.now, command)
}

// round runs a scheduling round and commits it. It returns whether anything was
// decided. The cell mirrors the table, so the table must not refuse any plan.
func (s *simulation) round() bool {
	s.cell.Update(s.now, s.table.DrainChanges())
	d := s.cell.Schedule(s.now, 50)
	result := s.apply(&apiv1.PlacementCommand{Stop: d.Stop, Plans: d.Plans})
	for i, verdict := range result.GetVerdicts() {
		if verdict.GetRefusal() != "" {
			s.t.Fatalf("plan %v is refused: %v", d.Plans[i], verdict)
		}
	}
	return len(d.Plans)+len(d.Stop) > 0
}

// failOver replaces the cell by a new leader's, filled from the table.
func (s *simulation) failOver() {
	s.cell = scheduler.NewCell()
	s.cell.Update(s.now, s.table.DrainFullState())
}

func (s *simulation) register(number int) {
	name := fmt.Sprintf("w%d", number)
	s.boots[name]++
	s.apply(&apiv1.PlacementCommand{Register: []*apiv1.Worker{{
		Name: name,
		Boot: fmt.Sprint(s.boots[name]),
		Location: &apiv1.Location{
			FailureDomain: fmt.Sprintf("d%d", number%2),
			Rack:          fmt.Sprintf("r%d", number%3),
		},
		Capacity: resources.Amount{CPU: 4000, Memory: 8, Accelerators: int64(number % 2)}.Message(),
	}}})
}

func (s *simulation) expire(number int) {
	name := fmt.Sprintf("w%d", number)
	s.apply(&apiv1.PlacementCommand{Expire: []*apiv1.WorkerExpiry{{Name: name, Boot: fmt.Sprint(s.boots[name])}}})
}

func (s *simulation) configure() {
	c := &apiv1.Configuration{}
	s.jobs = make(map[string]*apiv1.Job)
	s.teams = make(map[string]resources.Amount)
	for i := range rapid.IntRange(1, 5).Draw(s.t, "jobs") {
		j := s.drawJob(fmt.Sprintf("j%d", i))
		s.jobs[j.GetName()] = j
		c.Jobs = append(c.Jobs, j)
	}
	for _, name := range []string{"a", "b"} {
		quota := resources.Amount{
			CPU:          1000 * rapid.Int64Range(0, 8).Draw(s.t, "quota"),
			Memory:       16,
			Accelerators: 2,
		}
		s.teams[name] = quota
		c.Teams = append(c.Teams, &apiv1.Team{Name: name, Quota: quota.Message()})
	}
	s.table.Configure(s.now, c)
}

func (s *simulation) drawJob(name string) *apiv1.Job {
	amount := resources.Amount{
		CPU:          500 * rapid.Int64Range(1, 8).Draw(s.t, "cpu"),
		Memory:       rapid.Int64Range(0, 5).Draw(s.t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(s.t, "accelerators"),
	}
	return &apiv1.Job{
		Name:          name,
		Team:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "team"),
		Kind:          apiv1.JobKind(rapid.IntRange(1, 3).Draw(s.t, "kind")),
		Class:         apiv1.Class(rapid.IntRange(0, 3).Draw(s.t, "class")),
		Spread:        apiv1.Spread(rapid.IntRange(0, 2).Draw(s.t, "spread")),
		Resources:     amount.Message(),
		Count:         rapid.Int32Range(1, 6).Draw(s.t, "count"),
		NonIdempotent: rapid.IntRange(0, 3).Draw(s.t, "once") == 0,
		Checkpoint:    rapid.Bool().Draw(s.t, "checkpoint"),
		Command:       rapid.SampledFrom([]string{"x", "y"}).Draw(s.t, "command"),
		ReleaseUnixMs: rapid.SampledFrom([]int64{0, s.now + 5000}).Draw(s.t, "release"),
		ExpectedRunMs: rapid.SampledFrom([]int64{0, 1000, 60_000}).Draw(s.t, "run"),
		MaxFailures:   100,
	}
}

// report commits the workers' reports on live attempts and returns whether there
// were any.
func (s *simulation) report(phase func(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase) bool {
	boots := make(map[string]string)
	for _, boot := range s.table.AliveBoots() {
		boots[boot.Worker] = boot.Boot
	}
	command := &apiv1.PlacementCommand{}
	for _, status := range s.table.Jobs() {
		command.Reports = append(command.Reports, s.reportsOf(status.GetName(), boots, phase)...)
	}
	for _, name := range s.removed() {
		command.Reports = append(command.Reports, s.reportsOf(name, boots, phase)...)
	}
	s.apply(command)
	return len(command.GetReports()) > 0
}

// removed returns the names of jobs that are no longer configured.
func (s *simulation) removed() []string {
	var names []string
	for i := range 5 {
		name := fmt.Sprintf("j%d", i)
		if _, ok := s.jobs[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

func (s *simulation) reportsOf(name string, boots map[string]string, phase func(*apiv1.TaskStatus) apiv1.AttemptReport_Phase) []*apiv1.AttemptReport {
	var reports []*apiv1.AttemptReport
	_, all, _ := s.table.Job(name)
	for _, task := range all {
		if task.GetAttempt() == "" || task.GetState() == apiv1.TaskState_TASK_STATE_UNKNOWN {
			continue
		}
		if p := phase(task); p != apiv1.AttemptReport_PHASE_UNSPECIFIED {
			reports = append(reports, &apiv1.AttemptReport{
				Attempt: task.GetAttempt(),
				Worker:  task.GetWorker(),
				Boot:    boots[task.GetWorker()],
				Phase:   p,
			})
		}
	}
	return reports
}

// randomPhase returns a phase that a worker may report of an attempt at any time.
func (s *simulation) randomPhase(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase {
	if rapid.IntRange(0, 2).Draw(s.t, "says") > 0 {
		return apiv1.AttemptReport_PHASE_UNSPECIFIED
	}
	return apiv1.AttemptReport_Phase(rapid.IntRange(1, 5).Draw(s.t, "phase"))
}

// successPhase returns the phase that a worker reports if nothing fails.
func (s *simulation) successPhase(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase {
	serves := s.jobs[task.GetJob()].GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
	switch task.GetState() {
	case apiv1.TaskState_TASK_STATE_PLACED:
		return apiv1.AttemptReport_PHASE_RUNNING
	case apiv1.TaskState_TASK_STATE_STOPPING:
		return apiv1.AttemptReport_PHASE_STOPPED
	case apiv1.TaskState_TASK_STATE_RUNNING:
		if !serves {
			return apiv1.AttemptReport_PHASE_SUCCEEDED
		}
	}
	return apiv1.AttemptReport_PHASE_UNSPECIFIED
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		s.configure()
	case 1:
		s.register(rapid.IntRange(0, 3).Draw(s.t, "register"))
	case 2:
		s.expire(rapid.IntRange(0, 3).Draw(s.t, "expire"))
	case 3:
		s.failOver()
	case 4, 5, 6:
		s.report(s.randomPhase)
	default:
		s.round()
	}
	s.now += rapid.SampledFrom([]int64{0, 10, 3000, 40_000}).Draw(s.t, "pause")
}

// freeCapacity returns what the usable workers have free.
func (s *simulation) freeCapacity() []resources.Amount {
	var free []resources.Amount
	for _, w := range s.table.Workers() {
		if w.GetAlive() && !w.GetQuarantined() {
			free = append(free, resources.FromMessage(w.GetWorker().GetCapacity()).Minus(resources.FromMessage(w.GetUsed())))
		}
	}
	return free
}

// startableTasks returns how many more tasks of the job fit on the workers, and in the
// team's quota if the job can't borrow.
func (s *simulation) startableTasks(j *apiv1.Job) int {
	const limit = 100
	amount := resources.FromMessage(j.GetResources())
	fit := 0
	for _, free := range s.freeCapacity() {
		fit += free.FitCount(amount, limit)
	}
	quota, limited := s.teams[j.GetTeam()]
	if limited && (j.GetNonIdempotent() || j.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE) {
		fit = min(fit, quota.Minus(s.serviceUsage(j.GetTeam())).FitCount(amount, limit))
	}
	return fit
}

// serviceUsage returns what the team's running services hold. At the end of a test
// nothing else is live.
func (s *simulation) serviceUsage(team string) resources.Amount {
	var sum resources.Amount
	for _, status := range s.table.Jobs() {
		if status.GetTeam() == team {
			sum = sum.Plus(resources.FromMessage(s.jobs[status.GetName()].GetResources()).Times(int64(status.GetRunning())))
		}
	}
	return sum
}

func TestEveryTaskThatFitsEventuallyStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.configure()
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			s.step()
		}
		for number := range 4 {
			s.register(number)
		}
		idle := 0
		for rounds := 0; idle < 3; rounds++ {
			if rounds == 1000 {
				t.Fatalf("the table does not become idle: %s", s.describe())
			}
			decided := s.round()
			reported := s.report(s.successPhase)
			s.now += 400_000 // past any backoff
			if decided || reported {
				idle = 0
			} else {
				idle++
			}
		}
		for _, status := range s.table.Jobs() {
			j := s.jobs[status.GetName()]
			_, all, _ := s.table.Job(status.GetName())
			waiting := 0
			for _, task := range all {
				if task.GetState() == apiv1.TaskState_TASK_STATE_WAITING {
					waiting++
				}
			}
			fits := s.startableTasks(j)
			if j.GetKind() == apiv1.JobKind_JOB_KIND_GANG && (waiting < int(j.GetCount()) || fits < waiting) {
				continue
			}
			if waiting > 0 && fits > 0 {
				t.Fatalf("%d tasks of %v wait although %d fit: %s", waiting, j, fits, s.describe())
			}
		}
	})
}

func (s *simulation) describe() string {
	text := ""
	for _, status := range s.table.Jobs() {
		_, all, _ := s.table.Job(status.GetName())
		text += fmt.Sprintf("\n%v %v waits %v", s.jobs[status.GetName()], all, s.cell.WaitReasons(status.GetName()))
	}
	for _, w := range s.table.Workers() {
		text += fmt.Sprintf("\n%v", w)
	}
	return text
}
