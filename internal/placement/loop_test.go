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

// loop drives a table and a cell as the duty does, with the workers' part
// played by random reports.
type loop struct {
	t     *rapid.T
	table *tasks.Table
	cell  *scheduler.Cell
	now   int64
	boots map[string]int
	jobs  map[string]*apiv1.Job
	teams map[string]resources.Amount
}

func newLoop(t *rapid.T) *loop {
	return &loop{
		t:     t,
		table: tasks.New(),
		cell:  scheduler.NewCell(),
		now:   epoch.UnixMilli(),
		boots: make(map[string]int),
		jobs:  make(map[string]*apiv1.Job),
		teams: make(map[string]resources.Amount),
	}
}

func (l *loop) apply(command *apiv1.PlacementCommand) *apiv1.PlacementResult {
	return l.table.Apply(l.now, command)
}

// round decides and commits. The cell mirrors the table, so nothing may be
// refused.
func (l *loop) round() bool {
	l.cell.Update(l.now, l.table.DrainChanges())
	d := l.cell.Schedule(l.now, 50)
	result := l.apply(&apiv1.PlacementCommand{Stop: d.Stop, Plans: d.Plans})
	for i, verdict := range result.GetVerdicts() {
		if verdict.GetRefusal() != "" {
			l.t.Fatalf("plan %v is refused: %v", d.Plans[i], verdict)
		}
	}
	return len(d.Plans)+len(d.Stop) > 0
}

// failOver fills a new leader's cell from the table.
func (l *loop) failOver() {
	l.cell = scheduler.NewCell()
	l.cell.Update(l.now, l.table.DrainFullState())
}

func (l *loop) register(number int) {
	name := fmt.Sprintf("w%d", number)
	l.boots[name]++
	l.apply(&apiv1.PlacementCommand{Register: []*apiv1.Worker{{
		Name: name,
		Boot: fmt.Sprint(l.boots[name]),
		Location: &apiv1.Location{
			FailureDomain: fmt.Sprintf("d%d", number%2),
			Rack:          fmt.Sprintf("r%d", number%3),
		},
		Capacity: resources.Amount{CPU: 4000, Memory: 8, Accelerators: int64(number % 2)}.Message(),
	}}})
}

func (l *loop) expire(number int) {
	name := fmt.Sprintf("w%d", number)
	l.apply(&apiv1.PlacementCommand{Expire: []*apiv1.WorkerExpiry{{Name: name, Boot: fmt.Sprint(l.boots[name])}}})
}

func (l *loop) configure() {
	c := &apiv1.Configuration{}
	l.jobs = make(map[string]*apiv1.Job)
	l.teams = make(map[string]resources.Amount)
	for i := range rapid.IntRange(1, 5).Draw(l.t, "jobs") {
		j := l.drawJob(fmt.Sprintf("j%d", i))
		l.jobs[j.GetName()] = j
		c.Jobs = append(c.Jobs, j)
	}
	for _, name := range []string{"a", "b"} {
		quota := resources.Amount{
			CPU:          1000 * rapid.Int64Range(0, 8).Draw(l.t, "quota"),
			Memory:       16,
			Accelerators: 2,
		}
		l.teams[name] = quota
		c.Teams = append(c.Teams, &apiv1.Team{Name: name, Quota: quota.Message()})
	}
	l.table.Configure(l.now, c)
}

func (l *loop) drawJob(name string) *apiv1.Job {
	amount := resources.Amount{
		CPU:          500 * rapid.Int64Range(1, 8).Draw(l.t, "cpu"),
		Memory:       rapid.Int64Range(0, 5).Draw(l.t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1}).Draw(l.t, "accelerators"),
	}
	return &apiv1.Job{
		Name:          name,
		Team:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(l.t, "team"),
		Kind:          apiv1.JobKind(rapid.IntRange(1, 3).Draw(l.t, "kind")),
		Class:         apiv1.Class(rapid.IntRange(0, 3).Draw(l.t, "class")),
		Spread:        apiv1.Spread(rapid.IntRange(0, 2).Draw(l.t, "spread")),
		Resources:     amount.Message(),
		Count:         rapid.Int32Range(1, 6).Draw(l.t, "count"),
		NonIdempotent: rapid.IntRange(0, 3).Draw(l.t, "once") == 0,
		Checkpoint:    rapid.Bool().Draw(l.t, "checkpoint"),
		Command:       rapid.SampledFrom([]string{"x", "y"}).Draw(l.t, "command"),
		ReleaseUnixMs: rapid.SampledFrom([]int64{0, l.now + 5000}).Draw(l.t, "release"),
		ExpectedRunMs: rapid.SampledFrom([]int64{0, 1000, 60_000}).Draw(l.t, "run"),
		MaxFailures:   100,
	}
}

// report plays the workers' part for each live attempt.
func (l *loop) report(phase func(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase) bool {
	boots := make(map[string]string)
	for _, boot := range l.table.AliveBoots() {
		boots[boot.Worker] = boot.Boot
	}
	command := &apiv1.PlacementCommand{}
	for _, status := range l.table.Jobs() {
		command.Reports = append(command.Reports, l.reportsOf(status.GetName(), boots, phase)...)
	}
	for _, name := range l.removed() {
		command.Reports = append(command.Reports, l.reportsOf(name, boots, phase)...)
	}
	l.apply(command)
	return len(command.GetReports()) > 0
}

// removed returns the jobs that are no longer configured.
func (l *loop) removed() []string {
	var names []string
	for i := range 5 {
		name := fmt.Sprintf("j%d", i)
		if _, ok := l.jobs[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

func (l *loop) reportsOf(name string, boots map[string]string, phase func(*apiv1.TaskStatus) apiv1.AttemptReport_Phase) []*apiv1.AttemptReport {
	var reports []*apiv1.AttemptReport
	_, all, _ := l.table.Job(name)
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

// randomPhase is what a worker may say of an attempt at any time.
func (l *loop) randomPhase(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase {
	if rapid.IntRange(0, 2).Draw(l.t, "says") > 0 {
		return apiv1.AttemptReport_PHASE_UNSPECIFIED
	}
	return apiv1.AttemptReport_Phase(rapid.IntRange(1, 5).Draw(l.t, "phase"))
}

// goodPhase is what workers say when all goes well.
func (l *loop) goodPhase(task *apiv1.TaskStatus) apiv1.AttemptReport_Phase {
	serves := l.jobs[task.GetJob()].GetKind() == apiv1.JobKind_JOB_KIND_SERVICE
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

func (l *loop) step() {
	switch rapid.IntRange(0, 9).Draw(l.t, "step") {
	case 0:
		l.configure()
	case 1:
		l.register(rapid.IntRange(0, 3).Draw(l.t, "register"))
	case 2:
		l.expire(rapid.IntRange(0, 3).Draw(l.t, "expire"))
	case 3:
		l.failOver()
	case 4, 5, 6:
		l.report(l.randomPhase)
	default:
		l.round()
	}
	l.now += rapid.SampledFrom([]int64{0, 10, 3000, 40_000}).Draw(l.t, "pause")
}

// room returns what the usable workers have free.
func (l *loop) room() []resources.Amount {
	var free []resources.Amount
	for _, w := range l.table.Workers() {
		if w.GetAlive() && !w.GetQuarantined() {
			free = append(free, resources.FromMessage(w.GetWorker().GetCapacity()).Minus(resources.FromMessage(w.GetUsed())))
		}
	}
	return free
}

// mayStart returns how many more tasks of the job the workers and the quota of
// a job that can't borrow let in.
func (l *loop) mayStart(j *apiv1.Job) int {
	const enough = 100
	amount := resources.FromMessage(j.GetResources())
	held := 0
	for _, free := range l.room() {
		held += free.FitCount(amount, enough)
	}
	quota, limited := l.teams[j.GetTeam()]
	if limited && (j.GetNonIdempotent() || j.GetKind() == apiv1.JobKind_JOB_KIND_SERVICE) {
		held = min(held, quota.Minus(l.ownUse(j.GetTeam())).FitCount(amount, enough))
	}
	return held
}

// ownUse sums up what the team's services hold; nothing else is live in the end.
func (l *loop) ownUse(team string) resources.Amount {
	var sum resources.Amount
	for _, status := range l.table.Jobs() {
		if status.GetTeam() == team {
			sum = sum.Plus(resources.FromMessage(l.jobs[status.GetName()].GetResources()).Times(int64(status.GetRunning())))
		}
	}
	return sum
}

func TestEverythingThatFitsStartsInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoop(t)
		l.configure()
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			l.step()
		}
		for number := range 4 {
			l.register(number)
		}
		idle := 0
		for rounds := 0; idle < 3; rounds++ {
			if rounds == 1000 {
				t.Fatalf("the table does not come to rest: %s", l.describe())
			}
			decided := l.round()
			reported := l.report(l.goodPhase)
			l.now += 400_000 // past any pause
			if decided || reported {
				idle = 0
			} else {
				idle++
			}
		}
		for _, status := range l.table.Jobs() {
			j := l.jobs[status.GetName()]
			_, all, _ := l.table.Job(status.GetName())
			waiting := 0
			for _, task := range all {
				if task.GetState() == apiv1.TaskState_TASK_STATE_WAITING {
					waiting++
				}
			}
			fits := l.mayStart(j)
			if j.GetKind() == apiv1.JobKind_JOB_KIND_GANG && (waiting < int(j.GetCount()) || fits < waiting) {
				continue
			}
			if waiting > 0 && fits > 0 {
				t.Fatalf("%d tasks of %v wait although %d fit: %s", waiting, j, fits, l.describe())
			}
		}
	})
}

func (l *loop) describe() string {
	text := ""
	for _, status := range l.table.Jobs() {
		_, all, _ := l.table.Job(status.GetName())
		text += fmt.Sprintf("\n%v %v waits %v", l.jobs[status.GetName()], all, l.cell.WaitReasons(status.GetName()))
	}
	for _, w := range l.table.Workers() {
		text += fmt.Sprintf("\n%v", w)
	}
	return text
}
