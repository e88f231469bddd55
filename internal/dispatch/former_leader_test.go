package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// offsetClock is the clock of a process whose wall clock is off. It follows the virtual time of a test.
type offsetClock struct {
	began  time.Time
	offset time.Duration
}

func (c offsetClock) Read() clock.Reading {
	now := time.Now()
	return clock.Reading{Monotonic: now.Sub(c.began), Boot: now.Sub(c.began), Wall: time.Duration(now.Add(c.offset).UnixNano())}
}

// newVirtualCluster returns a cluster whose leaders read the virtual time of the test.
func newVirtualCluster(t *testing.T, workers ...*fakeWorker) *testCluster {
	c := newTestCluster(t, workers...)
	c.links.latency = time.Millisecond
	began := time.Now().Add(-time.Hour)
	c.clockOf = func(uint64) clock.Clock { return offsetClock{began: began} }
	return c
}

// submitRepeating applies the acceptance of a job whose steps run at the times to the table.
func (c *testCluster) submitRepeating(id string, first time.Time, interval time.Duration, count int32, steps ...*apiv1.JobStep) {
	c.table.Apply(0, &apiv1.JobsCommand{Accept: []*apiv1.CallerJob{{
		Id: id, Queue: testQueue(), AcceptedUnixMs: time.Now().UnixMilli(),
		Spec: &apiv1.JobSpec{
			Payload: []byte("p"), Steps: steps, FirstUnixMs: first.UnixMilli(), IntervalMs: interval.Milliseconds(), RepeatCount: count,
		},
	}}})
}

// An occurrence that became due after a change of leader, while the lease of the former leader was still valid,
// was started by both: by the former one on a worker that had not heard of the next one.
func TestOccurrenceDueDuringTheLeaseOfTheFormerLeaderRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := newFakeWorker("near", 1000), newFakeWorker("far", 1000)
		c := newVirtualCluster(t, near, far)
		history := watchTasks(near, far)
		c.startLeader()
		c.submitRepeating("job", time.Now().Add(300*time.Millisecond), time.Second, 1, stepOf(1, 1000))
		c.links.isolate(1)
		c.links.cutWorker(1, "near")
		c.links.cutWorker(2, "far")
		t.Cleanup(c.links.healAll)
		c.startLeader()
		c.eventually("the occurrence runs", func() bool { return near.startCount()+far.startCount() > 0 })
		time.Sleep(c.timing.leaseDuration())
		history.expireLeases([]*fakeWorker{near, far})
		c.eventually("the occurrence runs under the next leader", func() bool { return len(near.running()) == 1 })
		near.finishAll(done)
		c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
		is.Equal(history.found(), []string{})
	})
}

// A worker that answers the next leader no longer executes starts of the former one: the occurrence is not delayed.
func TestOccurrenceDueAfterATakeoverStartsOnceAllWorkersHaveAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := newFakeWorker("near", 1000), newFakeWorker("far", 1000)
		c := newVirtualCluster(t, near, far)
		c.startLeader()
		due := time.Now().Add(300 * time.Millisecond)
		c.submitRepeating("job", due, time.Second, 1, stepOf(1, 1000))
		c.links.isolate(1)
		c.startLeader()
		c.eventually("the occurrence runs", func() bool { return near.startCount()+far.startCount() > 0 })
		is.True(time.Since(due) < 2*idlePassInterval)
	})
}

// Former leaders act until their leases end: they are isolated or frozen at any moment, reach any of the workers, and their
// calls arrive late. No task may run twice, whatever makes it ready meanwhile.
func TestTasksRunOnceWhateverFormerLeadersDo(t *testing.T) {
	for seed := range uint64(formerLeaderSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newFormerLeaderScenario(t, seed).run() })
		})
	}
}

const (
	formerLeaderSeeds  = 40
	formerLeaderRounds = 6 // takeovers
)

// formerLeaderScenario is a random sequence of takeovers, with jobs that become ready in different ways.
type formerLeaderScenario struct {
	*testCluster
	t       *testing.T
	random  *rand.Rand
	fakes   []*fakeWorker
	history *taskHistory
	jobs    []string
	leader  atomic.Pointer[Dispatcher]
	stops   []func() // of the leaders so far
	ended   chan struct{}
}

func newFormerLeaderScenario(t *testing.T, seed uint64) *formerLeaderScenario {
	s := &formerLeaderScenario{t: t, random: rand.New(rand.NewPCG(seed, 0)), ended: make(chan struct{})} //nolint:gosec // repeatable
	for i := range 4 {
		s.fakes = append(s.fakes, newFakeWorker(fmt.Sprintf("w%d", i), 4000))
	}
	s.testCluster = newVirtualCluster(t, s.fakes...)
	began := time.Now().Add(-time.Hour)
	s.clockOf = func(uint64) clock.Clock {
		return offsetClock{began: began, offset: s.upTo(400*time.Millisecond) - 200*time.Millisecond}
	}
	s.history = watchTasks(s.fakes...)
	for _, w := range s.fakes {
		w.withLock(func() {
			record := w.onStart
			w.onStart = func() {
				record()
				s.endLater(w, runKey{w.starts[len(w.starts)-1].Task, w.starts[len(w.starts)-1].Run})
			}
		})
	}
	return s
}

func (s *formerLeaderScenario) upTo(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most)))
}

// endLater ends a run after a while, as done or failed. The length follows from its name, as workers start runs in
// no fixed order.
func (s *formerLeaderScenario) endLater(w *fakeWorker, key runKey) {
	random := rand.New(rand.NewPCG(uint64(key.number), uint64(len(key.name))+uint64(key.name[len(key.name)-1]))) //nolint:gosec // repeatable
	length, outcome := time.Duration(random.Int64N(int64(1500*time.Millisecond))), done
	if random.IntN(4) == 0 {
		outcome = failed
	}
	time.AfterFunc(length, func() {
		w.withLock(func() {
			w.endExpiredRuns()
			if _, running := w.runs[key]; running {
				w.endLocked(key, outcome)
			}
		})
	})
}

func (s *formerLeaderScenario) run() {
	go s.expireLeases()
	s.startNext()
	for range formerLeaderRounds {
		for range 1 + s.random.IntN(4) {
			s.submitAny()
		}
		time.Sleep(s.upTo(1500 * time.Millisecond))
		s.changeLeader()
	}
	time.Sleep(3 * time.Second)
	s.links.healAll()
	s.within(time.Minute, "all jobs are finished", func() bool { return len(s.table.Unfinished()) == 0 })
	for _, stop := range s.stops {
		stop()
	}
	close(s.ended)
	is.New(s.t).Equal(s.history.found(), []string{})
}

// expireLeases makes workers end their runs as soon as their leases have expired.
func (s *formerLeaderScenario) expireLeases() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(time.Millisecond):
			s.history.expireLeases(s.fakes)
		}
	}
}

func (s *formerLeaderScenario) startNext() {
	leader, stop := s.startLeader()
	s.leader.Store(leader)
	s.stops = append(s.stops, stop)
}

// changeLeader starts the next leader while the former one goes on for a while, isolated or frozen.
func (s *formerLeaderScenario) changeLeader() {
	former := s.term
	stop := s.stops[len(s.stops)-1]
	frozenFor, stopsAfter := s.upTo(1500*time.Millisecond), s.upTo(2500*time.Millisecond)
	if s.random.IntN(2) == 0 {
		s.links.freeze(former)
		time.AfterFunc(frozenFor, func() { s.links.thaw(former) })
		time.Sleep(s.upTo(300 * time.Millisecond))
	}
	s.links.isolate(former)
	time.AfterFunc(frozenFor+stopsAfter, func() {
		go func() {
			stop()
			s.table.SetObserver(s.leader.Load()) // they share the table
		}()
	})
	for _, w := range s.fakes {
		s.cutFor(former, w, 3)
		s.cutFor(former+1, w, 3)
	}
	time.Sleep(s.upTo(400 * time.Millisecond)) // of an election
	s.startNext()
}

// cutFor cuts a leader off from a worker for a while, in one of so many cases.
func (s *formerLeaderScenario) cutFor(term uint64, w *fakeWorker, oneOf int) {
	healedAfter := s.upTo(3 * time.Second)
	if s.random.IntN(oneOf) != 0 {
		return
	}
	id := w.record.GetId()
	s.links.cutWorker(term, id)
	time.AfterFunc(healedAfter, func() { s.links.healWorker(term, id) })
}

// submitAny submits a job that is ready at once, later, or as soon as another step is done.
func (s *formerLeaderScenario) submitAny() {
	id := fmt.Sprintf("job%03d", len(s.jobs))
	s.jobs = append(s.jobs, id)
	step := func() *apiv1.JobStep { return stepOf(1+s.random.Int32N(3), 500) }
	first := time.Now().Add(s.upTo(2500 * time.Millisecond))
	switch s.random.IntN(4) {
	case 0:
		s.submit(id, step())
	case 1:
		s.submit(id, step(), dependsOnFirst(step()))
	case 2:
		gang := step()
		gang.Gang = true
		s.submitRepeating(id, first, s.upTo(time.Second)+time.Millisecond, 1+s.random.Int32N(3), gang)
	default:
		s.submitRepeating(id, first, s.upTo(time.Second)+time.Millisecond, 1+s.random.Int32N(4), step(), dependsOnFirst(step()))
	}
}

func dependsOnFirst(step *apiv1.JobStep) *apiv1.JobStep {
	step.DependsOn = []int32{0}
	return step
}
