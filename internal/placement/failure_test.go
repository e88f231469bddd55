package placement_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/worker"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// pastLease is longer than any lease of the tests.
const pastLease = 5 * time.Second

// taskRunner counts how often each task was started and how many attempts of it run.
type taskRunner struct {
	mu      sync.Mutex
	started map[int32]int
	running map[int32]int
	overlap bool // two attempts of a task ran at the same time
}

func newTaskRunner() *taskRunner {
	return &taskRunner{started: make(map[int32]int), running: make(map[int32]int)}
}

// run simulates a task that runs until it is stopped.
func (r *taskRunner) run(ctx context.Context, attempt *apiv1.Attempt, _ string) error {
	index := attempt.GetIndex()
	r.mu.Lock()
	r.started[index]++
	r.running[index]++
	r.overlap = r.overlap || r.running[index] > 1
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[index]--
	return ctx.Err()
}

func (r *taskRunner) starts(index int32) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[index]
}

// waitForStarts waits for the expected number of starts and returns the actual one.
// It has to wait because a worker reports a task as running right before it calls
// the task's function.
func (c *testLeader) waitForStarts(runner *taskRunner, index int32, expected int) int {
	c.waitFor("the task's function is called", func() bool { return runner.starts(index) >= expected })
	return runner.starts(index)
}

func (r *taskRunner) overlapped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlap
}

func (c *testLeader) workerWithLink(name string, runner *taskRunner) (*worker.Worker, *link) {
	l := &link{platform: c.controller}
	w := c.worker(name, func(o *worker.Options) {
		o.Platform = l
		if runner != nil {
			o.Run = runner.run
		}
	})
	return w, l
}

func nonIdempotent(j *apiv1.Job) *apiv1.Job {
	j.NonIdempotent = true
	return j
}

// advance moves the clock in steps, so that workers that can reach the leader keep
// their leases.
func (c *testLeader) advance(by time.Duration) {
	const step = 250 * time.Millisecond
	for ; by > 0; by -= step {
		c.clock.Advance(step)
		c.waitForRenewals()
	}
}

// waitForRenewals waits until each worker that can reach the leader has renewed its
// lease, which it infers from four more read-index barriers.
func (c *testLeader) waitForRenewals() {
	before := c.log.barriers.Load()
	deadline := time.After(waitTimeout)
	for c.log.barriers.Load() < before+4 {
		select {
		case <-deadline:
			c.t.Fatal("no worker renews its lease")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestACutOffWorkersTaskRunsElsewhereOnlyAfterItsLease(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	cutOff, cutLink := c.workerWithLink("w1", runner)
	c.start(cutOff.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	other, _ := c.workerWithLink("w2", runner)
	c.start(other.Run)
	c.waitFor("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })

	cutLink.set(func(l *link) { l.cut = true })
	c.advance(pastLease)
	c.waitFor("start on the other worker", func() bool { return len(other.Running()) == 1 })
	c.waitFor("stop on the worker that was cut off", func() bool { return len(cutOff.Running()) == 0 })
	is.True(!runner.overlapped())

	cutLink.set(func(l *link) { l.cut = false })
	c.waitFor("return of the worker", func() bool { return len(c.table.AliveBoots()) == 2 })
	is.Equal(len(cutOff.Running()), 0)
	is.Equal(runner.starts(0), 2)
}

func TestANonIdempotentTaskOfACutOffWorkerIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	cutOff, cutLink := c.workerWithLink("w1", runner)
	c.start(cutOff.Run)
	refit := nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit"))
	c.publish(refit)
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	other, _ := c.workerWithLink("w2", runner)
	c.start(other.Run)
	c.waitFor("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })

	cutLink.set(func(l *link) { l.cut = true })
	c.advance(pastLease)
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_UNKNOWN)
	cutLink.set(func(l *link) { l.cut = false })
	c.waitFor("return of the worker", func() bool { return len(c.table.AliveBoots()) == 2 })
	c.advance(time.Second)
	is.Equal(runner.starts(0), 1)
	is.Equal(c.state("refit", 0), apiv1.TaskState_TASK_STATE_UNKNOWN)

	renewed := nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit"))
	renewed.Generation = "2"
	c.publish(renewed)
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	is.Equal(c.waitForStarts(runner, 0, 2), 2)
	is.True(!runner.overlapped())
}

func TestLostStartOrderIsResolvedByTheWorkersReport(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	w, l := c.workerWithLink("w1", runner)
	c.start(w.Run)
	c.waitFor("worker", func() bool { return len(c.table.AliveBoots()) == 1 })
	l.set(func(l *link) { l.dropResponse = ordersStart })
	c.publish(nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")))
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_PLACED)
	c.cutPastLease(l)
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_UNKNOWN)
	is.Equal(runner.starts(0), 0)

	l.set(func(l *link) { l.cut, l.dropResponse = false, nil })
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	is.Equal(c.waitForStarts(runner, 0, 1), 1)
}

func TestAStartOrderedTwiceRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	w, l := c.workerWithLink("w1", runner)
	var order *apiv1.Order
	l.set(func(l *link) {
		l.rewriteResponse = func(response *apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse {
			for _, o := range response.GetOrders() {
				if o.GetKind() == apiv1.Order_KIND_RUN {
					order = o
				}
			}
			if order != nil && !ordersStart(response) {
				response.OrdersUnchanged = false
				response.Orders = append(response.Orders, order)
			}
			return response
		}
	})
	c.start(w.Run)
	c.publish(nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")))
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.waitForRenewals()
	is.Equal(runner.starts(0), 1)
}

func TestARestartedWorkerGetsItsTasksAgain(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	runner := newTaskRunner()
	first, cutLink := c.workerWithLink("w1", runner)
	endFirst := c.start(first.Run)
	c.publish(
		job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"),
		nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")),
	)
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.waitForState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	cutLink.set(func(l *link) { l.cut = true })
	endFirst()

	second, _ := c.workerWithLink("w1", nil)
	c.start(second.Run)
	c.waitForRenewals()
	is.Equal(c.table.AliveBoots()[0].Boot, first.Boot()) // its lease still runs
	c.clock.Advance(pastLease)
	c.waitFor("start on the new boot", func() bool { return len(second.Running()) == 1 })
	is.Equal(c.state("refit", 0), apiv1.TaskState_TASK_STATE_UNKNOWN)
}

func TestSupersededBootIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	first, cutLink := c.workerWithLink("w1", nil)
	c.start(first.Run)
	c.waitFor("first boot", func() bool { return len(c.table.AliveBoots()) == 1 })
	c.cutPastLease(cutLink)
	second, _ := c.workerWithLink("w1", nil)
	c.start(second.Run)
	c.waitFor("second boot", func() bool {
		boots := c.table.AliveBoots()
		return len(boots) == 1 && boots[0].Boot == second.Boot()
	})
	cutLink.set(func(l *link) { l.cut = false })
	c.waitForRenewals()
	is.Equal(c.table.AliveBoots()[0].Boot, second.Boot())
}

func TestIndeterminatePlanRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	fails := 3
	c.log.failAfterApply = func(command *apiv1.PlacementCommand) error {
		if len(command.GetPlans()) == 0 || fails == 0 {
			return nil
		}
		fails--
		return replica.ErrIndeterminate
	}
	c.lead()
	runner := newTaskRunner()
	w, _ := c.workerWithLink("w1", runner)
	c.start(w.Run)
	c.publish(nonIdempotent(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 6, "refit")))
	for index := range 6 {
		c.waitForState("refit", index, apiv1.TaskState_TASK_STATE_RUNNING)
	}
	for index := range int32(6) {
		is.Equal(c.waitForStarts(runner, index, 1), 1)
	}
}

func TestANewLeaderWaitsForItsPredecessorsLeases(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	end := c.lead()
	runner := newTaskRunner()
	cutOff, cutLink := c.workerWithLink("w1", runner)
	c.start(cutOff.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	other, _ := c.workerWithLink("w2", runner)
	c.start(other.Run)
	c.waitFor("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })
	cutLink.set(func(l *link) { l.cut = true })
	end()

	c.clock.Advance(3 * time.Second) // most of the lease
	c.lead()
	c.waitForRenewals()
	c.advance(2 * time.Second) // the lease has expired, but the new leader can't know it
	is.Equal(len(c.table.AliveBoots()), 2)
	c.advance(3 * time.Second)
	c.waitFor("start on the other worker", func() bool { return len(other.Running()) == 1 })
	is.True(!runner.overlapped())
}

func TestNoLeaseIsGrantedWhileItsExpiryIsPending(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	var tried, answered atomic.Int64
	c.log.failBeforeApply = func(command *apiv1.PlacementCommand) error {
		if len(command.GetExpire()) == 0 {
			return nil
		}
		tried.Add(1)
		return replica.ErrIndeterminate
	}
	c.lead()
	w, l := c.workerWithLink("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.cutPastLease(l)
	c.waitFor("try to end the lease", func() bool { return tried.Load() > 0 })
	c.waitFor("stop on the worker", func() bool { return len(w.Running()) == 0 })
	l.set(func(l *link) {
		l.cut = false
		l.rewriteResponse = func(response *apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse {
			answered.Add(1)
			return response
		}
	})
	c.waitForRenewals()
	is.Equal(answered.Load(), int64(0))
}

func TestUnknownAttemptIsOrderedToStop(t *testing.T) {
	is := is.New(t)
	c := newTestLeader(t)
	c.lead()
	w := &apiv1.Worker{Name: "w1", Boot: "b", Capacity: &apiv1.Resources{CpuMillis: 1000}}
	request := &apiv1.RenewWorkerRequest{
		Worker: w,
		Reports: []*apiv1.AttemptReport{
			{Attempt: "runs", Phase: apiv1.AttemptReport_PHASE_RUNNING},
			{Attempt: "ended", Phase: apiv1.AttemptReport_PHASE_STOPPED},
		},
	}
	var response *apiv1.RenewWorkerResponse
	c.waitFor("response", func() bool {
		var err error
		response, err = c.controller.Renew(context.Background(), request)
		return err == nil
	})
	is.Equal(len(response.GetOrders()), 1)
	is.Equal(response.GetOrders()[0].GetKind(), apiv1.Order_KIND_STOP)
	is.Equal(response.GetOrders()[0].GetAttempt().GetId(), "runs")
	is.Equal(response.GetAcknowledged(), []string{"ended"})
}

func TestANewLeaderThatIsNotYetConfirmedWaits(t *testing.T) {
	c := newTestLeader(t)
	c.log.isLeader.Store(false)
	c.lead()
	w, _ := c.workerWithLink("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.waitForRenewals()
	c.log.isLeader.Store(true)
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
}

func TestUncommittedPlanIsProposedAgain(t *testing.T) {
	c := newTestLeader(t)
	fails := 3
	c.log.failBeforeApply = func(command *apiv1.PlacementCommand) error {
		if len(command.GetPlans()) == 0 || fails == 0 {
			return nil
		}
		fails--
		return replica.ErrIndeterminate
	}
	c.lead()
	w, _ := c.workerWithLink("w1", nil)
	c.start(w.Run)
	c.waitFor("worker", func() bool { return len(c.table.AliveBoots()) == 1 })
	late := job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve")
	late.ReleaseUnixMs = c.clock.Read().Time().UnixMilli() + 1000
	c.publish(late)
	c.waitForRenewals() // nothing else wakes the leader from here on
	c.clock.Advance(time.Second)
	c.waitForState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
}
