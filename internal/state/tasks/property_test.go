package tasks

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// drawConfiguration draws a configuration of a few small jobs.
func drawConfiguration(t *rapid.T) *apiv1.Configuration {
	c := &apiv1.Configuration{}
	for i := range rapid.IntRange(0, 4).Draw(t, "jobs") {
		c.Jobs = append(c.Jobs, drawJob(t, fmt.Sprintf("j%d", i)))
	}
	for _, name := range []string{"a", "b"} {
		if rapid.Bool().Draw(t, "limited") {
			quota := resources.Amount{CPU: rapid.Int64Range(0, 8).Draw(t, "quota"), Memory: 8, Accelerators: 2}
			c.Teams = append(c.Teams, &apiv1.Team{Name: name, Quota: quota.Message()})
		}
	}
	return c
}

func drawJob(t *rapid.T, name string) *apiv1.Job {
	amount := resources.Amount{
		CPU:          rapid.Int64Range(1, 3).Draw(t, "cpu"),
		Memory:       rapid.Int64Range(0, 3).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
	return &apiv1.Job{
		Name:          name,
		Team:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Kind:          apiv1.JobKind(rapid.IntRange(1, 3).Draw(t, "kind")),
		Resources:     amount.Message(),
		Count:         rapid.Int32Range(0, 3).Draw(t, "count"),
		NonIdempotent: rapid.Bool().Draw(t, "once"),
		Checkpoint:    rapid.Bool().Draw(t, "checkpoint"),
		Command:       rapid.SampledFrom([]string{"x", "y"}).Draw(t, "command"),
		Generation:    rapid.SampledFrom([]string{"", "2"}).Draw(t, "generation"),
	}
}

// drawPlan draws a plan, mostly for tasks and workers that exist.
func drawPlan(t *rapid.T, table *Table, serial *int) *apiv1.GangPlan {
	plan := &apiv1.GangPlan{}
	jobs := table.jobs.names()
	if len(jobs) == 0 {
		return plan
	}
	name := rapid.SampledFrom(jobs).Draw(t, "plan job")
	j := table.jobs.all[shardIndex(name)].values[name]
	first, count := rapid.IntRange(0, 2).Draw(t, "first"), 1
	if rapid.Bool().Draw(t, "whole") {
		first, count = 0, len(j.tasks)
	}
	for i := range count {
		*serial++
		number := rapid.IntRange(0, 3).Draw(t, "plan worker")
		boot := "1"
		if w, ok := table.workers.all[shardIndex(workerName(number))].values[workerName(number)]; ok {
			boot = w.boot
		}
		plan.Attempts = append(plan.Attempts, &apiv1.Attempt{
			Id:         fmt.Sprintf("x%d", *serial),
			Job:        name,
			Index:      int32(first + i),
			Worker:     workerName(number),
			Boot:       rapid.SampledFrom([]string{boot, boot, boot, "1"}).Draw(t, "plan boot"),
			Resources:  j.spec.GetResources(),
			Generation: j.spec.GetGeneration(),
			Borrowed:   rapid.Bool().Draw(t, "borrowed"),
		})
	}
	return plan
}

func workerName(number int) string {
	return fmt.Sprintf("w%d", number)
}

// drawCommand draws a command with one kind of operation.
func drawCommand(t *rapid.T, table *Table, serial *int) *apiv1.PlacementCommand {
	command := &apiv1.PlacementCommand{}
	boots := []string{"1", "2", "3"}
	name := workerName(rapid.IntRange(0, 3).Draw(t, "worker"))
	boot := rapid.SampledFrom(boots).Draw(t, "boot")
	switch rapid.IntRange(0, 9).Draw(t, "arm") {
	case 0, 1:
		capacity := resources.Amount{CPU: rapid.Int64Range(2, 6).Draw(t, "capacity"), Memory: 6, Accelerators: 1}
		command.Register = append(command.Register, &apiv1.Worker{Name: name, Boot: boot, Capacity: capacity.Message()})
	case 2:
		command.Expire = append(command.Expire, &apiv1.WorkerExpiry{Name: name, Boot: boot})
	case 3, 4, 5:
		command.Reports = append(command.Reports, drawReport(t, table))
	case 6:
		if ids := sortedKeys(table.liveAttempts); len(ids) > 0 {
			command.Stop = append(command.Stop, rapid.SampledFrom(ids).Draw(t, "stop"))
		}
	default:
		command.Plans = append(command.Plans, drawPlan(t, table, serial), drawPlan(t, table, serial))
	}
	return command
}

func drawReport(t *rapid.T, table *Table) *apiv1.AttemptReport {
	var known []*attempt
	for _, id := range sortedKeys(table.liveAttempts) {
		known = append(known, table.liveAttempts[id])
	}
	for _, name := range table.workers.names() {
		w := table.workers.all[shardIndex(name)].values[name]
		for _, id := range sortedKeys(w.lostAttempts) {
			known = append(known, w.lostAttempts[id])
		}
	}
	if len(known) == 0 {
		return &apiv1.AttemptReport{}
	}
	a := rapid.SampledFrom(known).Draw(t, "report")
	return &apiv1.AttemptReport{
		Attempt: a.id,
		Worker:  a.worker,
		Boot:    a.boot,
		Phase:   apiv1.AttemptReport_Phase(rapid.IntRange(1, 5).Draw(t, "phase")),
	}
}

// taskKey identifies a task in one generation of its job.
type taskKey struct {
	job        string
	index      int32
	generation string
}

// startModel tracks, independently of the table, which non-idempotent tasks may
// have started. An accepted attempt counts as started, unless the worker reports
// that it never started without having reported it as running before.
type startModel struct {
	started       map[taskKey]string // attempt id
	running       map[string]bool    // attempts reported as running
	taskByAttempt map[string]taskKey
}

func newStartModel() *startModel {
	return &startModel{started: make(map[taskKey]string), running: make(map[string]bool), taskByAttempt: make(map[string]taskKey)}
}

// check returns an error text if a command started a non-idempotent task twice;
// empty otherwise.
func (m *startModel) check(table *Table, command *apiv1.PlacementCommand, before map[string]bool, result *apiv1.PlacementResult) string {
	for _, r := range command.GetReports() {
		if r.GetPhase() == apiv1.AttemptReport_PHASE_RUNNING && before[r.GetAttempt()] {
			m.running[r.GetAttempt()] = true
		}
		if r.GetPhase() == apiv1.AttemptReport_PHASE_NEVER_STARTED && !m.running[r.GetAttempt()] {
			delete(m.started, m.taskByAttempt[r.GetAttempt()])
		}
	}
	for i, plan := range command.GetPlans() {
		if result.GetVerdicts()[i].GetRefusal() != "" {
			continue
		}
		for _, a := range plan.GetAttempts() {
			live := table.liveAttempts[a.GetId()]
			if live == nil || !live.nonIdempotent {
				continue
			}
			key := taskKey{a.GetJob(), a.GetIndex(), live.generation}
			if earlier, ok := m.started[key]; ok {
				return fmt.Sprintf("non-idempotent task %+v is started by attempt %s after attempt %s", key, a.GetId(), earlier)
			}
			m.started[key] = a.GetId()
			m.taskByAttempt[a.GetId()] = key
		}
	}
	return ""
}

func TestNoCommandBreaksAnInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, replica := New(), New()
		model := newStartModel()
		now := int64(1_700_000_000_000)
		serial := 0
		generations := make(map[string]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 5, 2000, 60_000}).Draw(t, "pause")
			over := table.overQuota()
			if rapid.IntRange(0, 7).Draw(t, "configure") == 0 {
				c := drawConfiguration(t)
				freshGenerations(c, generations)
				table.Configure(now, c)
				replica.Configure(now, c)
				over = table.overQuota()
			} else {
				command := drawCommand(t, table, &serial)
				before := make(map[string]bool, len(table.liveAttempts))
				for id := range table.liveAttempts {
					before[id] = true
				}
				result := table.Apply(now, command)
				if again := replica.Apply(now, command); !proto.Equal(result, again) {
					t.Fatalf("equal tables return %v and %v for the same command", result, again)
				}
				if wrong := model.check(table, command, before, result); wrong != "" {
					t.Fatal(wrong)
				}
			}
			if found := table.violations(); len(found) > 0 {
				t.Fatalf("%v", found)
			}
			for _, name := range table.overQuota() {
				if !slices.Contains(over, name) {
					t.Fatalf("team %s exceeds its quota", name)
				}
			}
			replica = compareAndRestore(t, table, replica)
		}
	})
}

// freshGenerations replaces the drawn generations, so that a job's generation only
// ever changes to a new one, as with operators.
func freshGenerations(c *apiv1.Configuration, last map[string]int) {
	for _, spec := range c.GetJobs() {
		if spec.GetGeneration() != "" {
			last[spec.GetName()]++
		}
		spec.Generation = fmt.Sprint(last[spec.GetName()])
	}
}

// compareAndRestore fails if the tables' snapshots differ, and returns a table
// restored from a snapshot.
func compareAndRestore(t *rapid.T, table, replica *Table) *Table {
	a, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b, err := replica.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(a, b) {
		t.Fatal("equal tables differ after the same command")
	}
	fresh := New()
	if err := fresh.Restore(a); err != nil {
		t.Fatal(err)
	}
	return fresh
}
