package placement_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/placement"
	"github.com/pistachioport/pistachioport/internal/state/tasks"
)

const (
	waitTimeout = 30 * time.Second
	gib         = int64(1) << 30
	tick        = 5 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// testLeader is a controller with its task table, on a clock that the test moves.
type testLeader struct {
	t          *testing.T
	clock      *clock.Manual
	table      *tasks.Table
	log        *memoryLog
	controller *placement.Controller
}

func newTestLeader(t *testing.T) *testLeader {
	c := &testLeader{t: t, clock: clock.NewManual(epoch), table: tasks.New()}
	c.log = newMemoryLog(c.table)
	c.controller = placement.New(placement.Config{
		Log:       c.log,
		Tasks:     c.table,
		Clock:     c.clock,
		Tick:      tick,
		NotLeader: func() error { return errNotLeading },
	})
	return c
}

// lead runs the controller and returns a function that ends its term.
func (c *testLeader) lead() (end func()) {
	return c.start(c.controller.Run)
}

// start runs f in the background and returns a function that ends it and waits for
// its return.
func (c *testLeader) start(f func(context.Context) error) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f(ctx); err != nil {
			c.t.Errorf("run returns %v", err)
		}
	}()
	end = func() {
		cancel()
		<-done
	}
	c.t.Cleanup(end)
	return end
}

func (c *testLeader) worker(name string, change func(*worker.Options)) *worker.Worker {
	options := worker.Options{
		Name:               name,
		Location:           &apiv1.Location{Region: "r", FailureDomain: "d", Rack: "k"},
		Capacity:           &apiv1.Resources{CpuMillis: 16000, MemoryBytes: 64 * gib},
		Platform:           c.controller,
		Clock:              c.clock,
		LongPollWait:       20 * time.Millisecond,
		RetryBackoff:       tick,
		LeaseCheckInterval: tick,
	}
	if change != nil {
		change(&options)
	}
	return worker.New(options)
}

func (c *testLeader) publish(jobs ...*apiv1.Job) {
	c.log.configure(c.clock.Read().Time().UnixMilli(), &apiv1.Configuration{Jobs: jobs})
}

// waitFor waits until the condition holds, and fails the test after waitTimeout.
func (c *testLeader) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			c.t.Fatalf("no %s within %s: %s", what, waitTimeout, c.describe())
		case <-ticker.C:
		}
	}
}

func (c *testLeader) describe() string {
	text := ""
	for _, job := range c.table.Jobs() {
		_, all, _ := c.table.Job(job.GetName())
		text += fmt.Sprintf("\n%v %v waits %v", job, all, c.controller.WaitReasons(job.GetName()))
	}
	for _, w := range c.table.Workers() {
		text += fmt.Sprintf("\n%v", w)
	}
	return text
}

func (c *testLeader) state(job string, index int) apiv1.TaskState {
	_, all, ok := c.table.Job(job)
	if !ok || index >= len(all) {
		return apiv1.TaskState_TASK_STATE_UNSPECIFIED
	}
	return all[index].GetState()
}

func (c *testLeader) waitForState(job string, index int, want apiv1.TaskState) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("%s of task %d of %q", want, index, job), func() bool { return c.state(job, index) == want })
}

func job(name string, kind apiv1.JobKind, count int32, command string) *apiv1.Job {
	return &apiv1.Job{
		Name:      name,
		Kind:      kind,
		Count:     count,
		Command:   command,
		Resources: &apiv1.Resources{CpuMillis: 2000, MemoryBytes: 4 * gib},
	}
}

func TestTasksOfAllKindsRun(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	first, second := c.worker("w1", nil), c.worker("w2", nil)
	c.start(first.Run)
	c.start(second.Run)
	c.waitFor("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })
	c.publish(
		job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 2, "serve"),
		job("plans", apiv1.JobKind_JOB_KIND_BATCH, 5, "sleep 1ms"),
		job("projection", apiv1.JobKind_JOB_KIND_GANG, 6, "sleep 1ms"),
	)
	c.waitFor("running service", func() bool {
		status, _, _ := c.table.Job("dispatch")
		return status.GetRunning() == 2
	})
	_, serving, _ := c.table.Job("dispatch")
	is.True(serving[0].GetWorker() != serving[1].GetWorker()) // spread over the workers
	c.waitFor("end of all batch tasks and the gang", func() bool {
		plans, _, _ := c.table.Job("plans")
		gang, _, _ := c.table.Job("projection")
		return plans.GetDone() == 5 && gang.GetDone() == 6
	})
}

func TestARemovedJobStops(t *testing.T) {
	c := newTestLeader(t)
	c.lead()
	w := c.worker("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 3, "serve"))
	c.waitFor("running service", func() bool { return len(w.Running()) == 3 })
	c.publish()
	c.waitFor("end of all tasks", func() bool {
		_, _, known := c.table.Job("dispatch")
		return len(w.Running()) == 0 && !known
	})
}

func TestANewTermTakesOverRunningTasks(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	end := c.lead()
	w := c.worker("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	before := w.Running()
	end()
	c.lead()
	c.publish(
		job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"),
		job("plans", apiv1.JobKind_JOB_KIND_BATCH, 1, "sleep 1ms"),
	)
	c.waitForState("plans", 0, apiv1.TaskState_TASK_STATE_DONE)
	is.Equal(c.state("dispatch", 0), apiv1.TaskState_TASK_STATE_RUNNING)
	is.Equal(w.Running(), before)
}
