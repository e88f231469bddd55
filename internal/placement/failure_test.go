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

// leaseOver is long enough for any lease of the tests to run out.
const leaseOver = 5 * time.Second

// starter counts how often each task was started, and how many run.
type starter struct {
	mu      sync.Mutex
	started map[int32]int
	running map[int32]int
	twice   bool // two attempts of a task ran at one time
}

func newStarter() *starter {
	return &starter{started: make(map[int32]int), running: make(map[int32]int)}
}

// run plays a task that runs until it is stopped.
func (s *starter) run(ctx context.Context, attempt *apiv1.Attempt, _ string) error {
	index := attempt.GetIndex()
	s.mu.Lock()
	s.started[index]++
	s.running[index]++
	s.twice = s.twice || s.running[index] > 1
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[index]--
	return ctx.Err()
}

func (s *starter) starts(index int32) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[index]
}

// startsSeen waits for as many starts as there should be and returns how many
// there are. A worker reports a task as running right before it calls its
// function.
func (c *cell) startsSeen(s *starter, index int32, expected int) int {
	c.until("the task's function is called", func() bool { return s.starts(index) >= expected })
	return s.starts(index)
}

func (s *starter) ranTwice() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.twice
}

func (c *cell) linked(name string, s *starter) (*worker.Worker, *link) {
	l := &link{platform: c.duty}
	w := c.worker(name, func(o *worker.Options) {
		o.Platform = l
		if s != nil {
			o.Run = s.run
		}
	})
	return w, l
}

func once(j *apiv1.Job) *apiv1.Job {
	j.NonIdempotent = true
	return j
}

// pass moves the clock in steps, so that workers that are reached keep their
// leases.
func (c *cell) pass(by time.Duration) {
	const step = 250 * time.Millisecond
	for ; by > 0; by -= step {
		c.clock.Advance(step)
		c.settle()
	}
}

// settle waits until each worker that is reached has renewed its lease, shown
// by the count of barriers.
func (c *cell) settle() {
	before := c.log.barrier.Load()
	deadline := time.After(patience)
	for c.log.barrier.Load() < before+4 {
		select {
		case <-deadline:
			c.t.Fatal("no worker renews its lease")
		case <-time.After(time.Millisecond):
		}
	}
}

func TestACutOffWorkersTaskRunsElsewhereOnlyAfterItsLease(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	s := newStarter()
	far, cut := c.linked("w1", s)
	c.start(far.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	near, _ := c.linked("w2", s)
	c.start(near.Run)
	c.until("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })

	cut.set(func(l *link) { l.cut = true })
	c.pass(leaseOver)
	c.until("start on the other worker", func() bool { return len(near.Running()) == 1 })
	c.until("stop on the worker that was cut off", func() bool { return len(far.Running()) == 0 })
	is.True(!s.ranTwice())

	cut.set(func(l *link) { l.cut = false })
	c.until("return of the worker", func() bool { return len(c.table.AliveBoots()) == 2 })
	is.Equal(len(far.Running()), 0)
	is.Equal(s.starts(0), 2)
}

func TestANonIdempotentTaskOfACutOffWorkerIsUnknown(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	s := newStarter()
	far, cut := c.linked("w1", s)
	c.start(far.Run)
	refit := once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit"))
	c.publish(refit)
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	near, _ := c.linked("w2", s)
	c.start(near.Run)
	c.until("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })

	cut.set(func(l *link) { l.cut = true })
	c.pass(leaseOver)
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_UNKNOWN)
	cut.set(func(l *link) { l.cut = false })
	c.until("return of the worker", func() bool { return len(c.table.AliveBoots()) == 2 })
	c.pass(time.Second)
	is.Equal(s.starts(0), 1)
	is.Equal(c.state("refit", 0), apiv1.TaskState_TASK_STATE_UNKNOWN)

	again := once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit"))
	again.Generation = "2"
	c.publish(again)
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	is.Equal(c.startsSeen(s, 0, 2), 2)
	is.True(!s.ranTwice())
}

func TestALostStartIsSettledByTheWorkersOwnWord(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	s := newStarter()
	w, l := c.linked("w1", s)
	c.start(w.Run)
	c.until("worker", func() bool { return len(c.table.AliveBoots()) == 1 })
	l.set(func(l *link) { l.lost = starts })
	c.publish(once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")))
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_PLACED)
	c.outlast(l)
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_UNKNOWN)
	is.Equal(s.starts(0), 0)

	l.set(func(l *link) { l.cut, l.lost = false, nil })
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	is.Equal(c.startsSeen(s, 0, 1), 1)
}

func TestAStartOrderedTwiceRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	s := newStarter()
	w, l := c.linked("w1", s)
	var order *apiv1.Order
	l.set(func(l *link) {
		l.replace = func(response *apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse {
			for _, o := range response.GetOrders() {
				if o.GetKind() == apiv1.Order_KIND_RUN {
					order = o
				}
			}
			if order != nil && !starts(response) {
				response.OrdersUnchanged = false
				response.Orders = append(response.Orders, order)
			}
			return response
		}
	})
	c.start(w.Run)
	c.publish(once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")))
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.settle()
	is.Equal(s.starts(0), 1)
}

func TestARestartedWorkerGetsItsTasksAnew(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	s := newStarter()
	first, cut := c.linked("w1", s)
	endFirst := c.start(first.Run)
	c.publish(
		job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"),
		once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 1, "refit")),
	)
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.awaitState("refit", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	cut.set(func(l *link) { l.cut = true })
	endFirst()

	second, _ := c.linked("w1", nil)
	c.start(second.Run)
	c.settle()
	is.Equal(c.table.AliveBoots()[0].Boot, first.Boot()) // its lease still runs
	c.clock.Advance(leaseOver)
	c.until("start on the new boot", func() bool { return len(second.Running()) == 1 })
	is.Equal(c.state("refit", 0), apiv1.TaskState_TASK_STATE_UNKNOWN)
}

func TestAFormerBootIsTurnedAway(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.lead()
	first, cut := c.linked("w1", nil)
	c.start(first.Run)
	c.until("first boot", func() bool { return len(c.table.AliveBoots()) == 1 })
	c.outlast(cut)
	second, _ := c.linked("w1", nil)
	c.start(second.Run)
	c.until("second boot", func() bool {
		boots := c.table.AliveBoots()
		return len(boots) == 1 && boots[0].Boot == second.Boot()
	})
	cut.set(func(l *link) { l.cut = false })
	c.settle()
	is.Equal(c.table.AliveBoots()[0].Boot, second.Boot())
}

func TestAPlanOfUnknownFateIsNotCarriedOutTwice(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	fails := 3
	c.log.lose = func(command *apiv1.PlacementCommand) error {
		if len(command.GetPlans()) == 0 || fails == 0 {
			return nil
		}
		fails--
		return replica.ErrIndeterminate
	}
	c.lead()
	s := newStarter()
	w, _ := c.linked("w1", s)
	c.start(w.Run)
	c.publish(once(job("refit", apiv1.JobKind_JOB_KIND_BATCH, 6, "refit")))
	for index := range 6 {
		c.awaitState("refit", index, apiv1.TaskState_TASK_STATE_RUNNING)
	}
	for index := range int32(6) {
		is.Equal(c.startsSeen(s, index, 1), 1)
	}
}

func TestANewLeaderWaitsOutItsPredecessorsLeases(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	end := c.lead()
	s := newStarter()
	far, cut := c.linked("w1", s)
	c.start(far.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	near, _ := c.linked("w2", s)
	c.start(near.Run)
	c.until("two workers", func() bool { return len(c.table.AliveBoots()) == 2 })
	cut.set(func(l *link) { l.cut = true })
	end()

	c.clock.Advance(3 * time.Second) // most of the lease
	c.lead()
	c.settle()
	c.pass(2 * time.Second) // the lease is over, but the new leader can't know it
	is.Equal(len(c.table.AliveBoots()), 2)
	c.pass(3 * time.Second)
	c.until("start on the other worker", func() bool { return len(near.Running()) == 1 })
	is.True(!s.ranTwice())
}

func TestNoLeaseIsGrantedWhileItsEndIsBeingDecided(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	var tried, answered atomic.Int64
	c.log.refuse = func(command *apiv1.PlacementCommand) error {
		if len(command.GetExpire()) == 0 {
			return nil
		}
		tried.Add(1)
		return replica.ErrIndeterminate
	}
	c.lead()
	w, l := c.linked("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
	c.outlast(l)
	c.until("try to end the lease", func() bool { return tried.Load() > 0 })
	c.until("stop on the worker", func() bool { return len(w.Running()) == 0 })
	l.set(func(l *link) {
		l.cut = false
		l.replace = func(response *apiv1.RenewWorkerResponse) *apiv1.RenewWorkerResponse {
			answered.Add(1)
			return response
		}
	})
	c.settle()
	is.Equal(answered.Load(), int64(0))
}

func TestAnAttemptThatDoesNotCountIsOrderedToStop(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
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
	c.until("answer", func() bool {
		var err error
		response, err = c.duty.Renew(context.Background(), request)
		return err == nil
	})
	is.Equal(len(response.GetOrders()), 1)
	is.Equal(response.GetOrders()[0].GetKind(), apiv1.Order_KIND_STOP)
	is.Equal(response.GetOrders()[0].GetAttempt().GetId(), "runs")
	is.Equal(response.GetAcknowledged(), []string{"ended"})
}

func TestANewLeaderThatIsNotYetConfirmedWaits(t *testing.T) {
	c := newCell(t)
	c.log.leads.Store(false)
	c.lead()
	w, _ := c.linked("w1", nil)
	c.start(w.Run)
	c.publish(job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve"))
	c.settle()
	c.log.leads.Store(true)
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
}

func TestAPlanThatWasNeverCommittedIsMadeAgain(t *testing.T) {
	c := newCell(t)
	fails := 3
	c.log.refuse = func(command *apiv1.PlacementCommand) error {
		if len(command.GetPlans()) == 0 || fails == 0 {
			return nil
		}
		fails--
		return replica.ErrIndeterminate
	}
	c.lead()
	w, _ := c.linked("w1", nil)
	c.start(w.Run)
	c.until("worker", func() bool { return len(c.table.AliveBoots()) == 1 })
	late := job("dispatch", apiv1.JobKind_JOB_KIND_SERVICE, 1, "serve")
	late.ReleaseUnixMs = c.clock.Read().Time().UnixMilli() + 1000
	c.publish(late)
	c.settle() // nothing else wakes the leader from here on
	c.clock.Advance(time.Second)
	c.awaitState("dispatch", 0, apiv1.TaskState_TASK_STATE_RUNNING)
}
