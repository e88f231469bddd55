package slopes_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

const (
	startUnixMs       = int64(1_700_000_000_000) // time of all commands
	gib               = int64(1) << 30           // bytes
	responseBodyBytes = 256                      // of the response body kept with a settled claim
	statedJobs        = 2400
	statedTasks       = 4000
	statedWorkers     = 550
	statedTeams       = 42
)

// cell applies commands to a store like that of a control process.
type cell struct {
	b     *testing.B
	store *state.Store
	index uint64 // of the last command applied
}

func newCell(b *testing.B) *cell {
	return &cell{b: b, store: state.New(state.Options{Claims: claims.New(claims.Options{}), Tasks: tasks.New()})}
}

// apply applies a command and fails the benchmark if it is refused.
func (c *cell) apply(command *apiv1.Command) *apiv1.CommandResult {
	c.index++
	command.LeaderUnixMs = startUnixMs
	result := c.store.Apply(c.index, command)
	if result.GetRefusal() != "" {
		c.b.Fatalf("command %d was refused: %s", c.index, result.GetRefusal())
	}
	return result
}

func (c *cell) taskTable() *tasks.Table { return c.store.Tasks().(*tasks.Table) }

func (c *cell) publish(configuration *apiv1.Configuration) {
	result := c.apply(publishCommand(c.store.ConfigurationRevision(), configuration))
	if status := result.GetPublish().GetStatus(); status != apiv1.PublishResult_STATUS_APPLIED {
		c.b.Fatalf("the publication's status is %s", status)
	}
}

func (c *cell) registerWorkers(workers int) {
	for i := range workers {
		c.apply(placementCommand(&apiv1.PlacementCommand{Register: []*apiv1.Worker{worker(i)}}))
	}
}

// placeTasks places count tasks of a job on the workers in turn, with one command for
// each.
func (c *cell) placeTasks(job string, count, workers int) {
	for i := range count {
		c.placePlans([]*apiv1.GangPlan{plan(job, i, i%workers, 1)})
	}
}

// placePlans applies plans with one command and fails the benchmark if one is refused.
func (c *cell) placePlans(plans []*apiv1.GangPlan) {
	result := c.apply(placementCommand(&apiv1.PlacementCommand{Plans: plans}))
	for _, verdict := range result.GetPlacement().GetVerdicts() {
		if verdict.GetRefusal() != "" {
			c.b.Fatalf("a plan was refused: %s: %s", verdict.GetRefusal(), verdict.GetDetail())
		}
	}
}

func (c *cell) snapshotBytes() float64 {
	snapshot, err := c.store.Snapshot()
	if err != nil {
		c.b.Fatal(err)
	}
	return float64(len(snapshot))
}

func worker(i int) *apiv1.Worker {
	return &apiv1.Worker{
		Name:     workerName(i),
		Boot:     "5f1b9c3a7d2e4f60",
		Location: location(i),
		Capacity: &apiv1.Resources{CpuMillis: 64_000, MemoryBytes: 256 * gib},
	}
}

func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

func location(i int) *apiv1.Location {
	domain := i % 6
	return &apiv1.Location{
		Region:        fmt.Sprintf("region-%d", domain%3),
		FailureDomain: fmt.Sprintf("domain-%d", domain),
		Rack:          fmt.Sprintf("rack-%03d", i/8),
	}
}

// configuration returns a configuration with the given number of jobs. Each has two
// tasks, as most batch jobs have few.
func configuration(jobs int) *apiv1.Configuration {
	c := &apiv1.Configuration{}
	for i := range statedTeams {
		c.Teams = append(c.Teams, &apiv1.Team{Name: team(i)})
	}
	for i := range jobs {
		c.Jobs = append(c.Jobs, job(fmt.Sprintf("job-%05d", i), team(i%statedTeams), 2))
	}
	return c
}

func team(i int) string { return fmt.Sprintf("team-%02d", i) }

func job(name, team string, count int) *apiv1.Job {
	return &apiv1.Job{
		Name:          name,
		Team:          team,
		Kind:          apiv1.JobKind_JOB_KIND_BATCH,
		Class:         apiv1.Class_CLASS_NORMAL,
		Count:         int32(count),
		Resources:     taskResources(),
		ExpectedRunMs: 30_000,
		Command:       "run /opt/work/job --with --some --arguments",
		Source:        team + "/jobs/" + name + ".toml",
	}
}

func taskResources() *apiv1.Resources { return &apiv1.Resources{CpuMillis: 1000, MemoryBytes: gib} }

// plan returns the plan of one task on one worker.
func plan(job string, index, workerIndex, serial int) *apiv1.GangPlan {
	return &apiv1.GangPlan{Attempts: []*apiv1.Attempt{{
		Id:        attemptID(job, index, serial),
		Job:       job,
		Index:     int32(index),
		Worker:    workerName(workerIndex),
		Boot:      worker(workerIndex).GetBoot(),
		Resources: taskResources(),
	}}}
}

func attemptID(job string, index, serial int) string {
	return fmt.Sprintf("%s/%d/1.%d", job, index, serial)
}

func report(id string, workerIndex int, phase apiv1.AttemptReport_Phase) *apiv1.AttemptReport {
	return &apiv1.AttemptReport{Attempt: id, Worker: workerName(workerIndex), Boot: worker(workerIndex).GetBoot(), Phase: phase}
}

func endpoint(i int) *apiv1.Endpoint {
	return &apiv1.Endpoint{
		Id:          endpointID(i),
		Service:     fmt.Sprintf("service-%02d", i%40),
		Address:     fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		Location:    location(i),
		Slots:       16,
		Connections: 64,
	}
}

func endpointID(i int) string { return fmt.Sprintf("endpoint-%05d", i) }

func endpoints(first, count int) []*apiv1.Endpoint {
	all := make([]*apiv1.Endpoint, 0, count)
	for i := range count {
		all = append(all, endpoint(first+i))
	}
	return all
}

func claimKey(i int) string { return fmt.Sprintf("order-%08d-5f1b9c3a", i) }

// takeCommand returns a command that takes the claims first to first+count-1.
func takeCommand(first, count int) *apiv1.Command {
	batch := &apiv1.ClaimBatch{}
	for i := first; i < first+count; i++ {
		batch.Changes = append(batch.Changes, &apiv1.ClaimChange{Key: claimKey(i), Change: &apiv1.ClaimChange_Take{Take: &apiv1.ClaimTake{
			RequestDigest: make([]byte, 32), Entry: "entry-03-5f1b9c3a7d2e4f60", Service: "service-07",
			DeadlineUnixMs: startUnixMs + 30_000, Attempt: "7d2e4f605f1b9c3a",
		}}})
	}
	return &apiv1.Command{LeaderUnixMs: startUnixMs, Body: &apiv1.Command_Claims{Claims: batch}}
}

// settleCommand returns a command that settles the claims of takeCommand as done.
func settleCommand(first, count int) *apiv1.Command {
	batch := &apiv1.ClaimBatch{}
	for i := first; i < first+count; i++ {
		answer := &apiv1.KeptAnswer{Status: 200, Body: make([]byte, responseBodyBytes)}
		batch.Changes = append(batch.Changes, &apiv1.ClaimChange{Key: claimKey(i), Change: &apiv1.ClaimChange_Settle{Settle: &apiv1.ClaimSettle{
			Entry: "entry-03-5f1b9c3a7d2e4f60", Outcome: apiv1.Outcome_OUTCOME_DONE, Answer: answer, Attempt: "7d2e4f605f1b9c3a",
		}}})
	}
	return &apiv1.Command{LeaderUnixMs: startUnixMs, Body: &apiv1.Command_Claims{Claims: batch}}
}

func publishCommand(base uint64, c *apiv1.Configuration) *apiv1.Command {
	return &apiv1.Command{LeaderUnixMs: startUnixMs, Body: &apiv1.Command_Publish{Publish: &apiv1.PublishCommand{
		BaseRevision: base, Operator: "ana", Configuration: c,
	}}}
}

func placementCommand(command *apiv1.PlacementCommand) *apiv1.Command {
	return &apiv1.Command{LeaderUnixMs: startUnixMs, Body: &apiv1.Command_Placement{Placement: command}}
}

func announceCommand(first, count int) *apiv1.Command {
	return &apiv1.Command{LeaderUnixMs: startUnixMs, Body: &apiv1.Command_Endpoint{Endpoint: &apiv1.EndpointCommand{
		Announce: endpoints(first, count),
	}}}
}

// logBytes returns the bytes of a command in the log file.
func logBytes(b *testing.B, command *apiv1.Command) float64 {
	const recordHeader = 13 // bytes, see internal/storage
	data, err := proto.Marshal(command)
	if err != nil {
		b.Fatal(err)
	}
	return float64(recordHeader + proto.Size(&apiv1.LogEntry{Term: 12, Index: 10_000_000, Data: data}))
}
