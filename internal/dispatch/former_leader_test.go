package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
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
	bubble.Test(t, func(t *testing.T) {
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
	bubble.Test(t, func(t *testing.T) {
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

// A former leader gave up a worker that it did not reach, as its leases had expired, and started the tasks elsewhere,
// although the next leader had extended the leases meanwhile.
func TestTaskOfAWorkerThatTheNextLeaderReachesIsNotRestartedByTheFormerOne(t *testing.T) {
	for cutFor := time.Second; cutFor < 4*time.Second; cutFor += 500 * time.Millisecond {
		t.Run(cutFor.String(), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { loseWorkerToTheNextLeader(t, cutFor) })
		})
	}
}

// loseWorkerToTheNextLeader changes the leader after it has been cut off for a while from a worker that runs a task. The former leader
// reaches a free worker that the next one does not reach.
func loseWorkerToTheNextLeader(t *testing.T, cutFor time.Duration) {
	is := is.New(t)
	near, far := newFakeWorker("near", 1000), newFakeWorker("far", 0)
	c := newVirtualCluster(t, near, far)
	c.timing.MaxLease = 6 * time.Second
	fakes := []*fakeWorker{near, far}
	history := watchTasks(fakes...)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(near.running()) == 1 })
	far.withLock(func() {
		far.record = proto.CloneOf(far.record)
		far.record.CpuMillis, far.record.Sequence = 1000, 1
	})
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{far.currentRecord()}})
	c.links.cutWorker(1, "near")
	t.Cleanup(c.links.healAll)
	time.Sleep(cutFor)
	c.links.isolate(1)
	c.links.cutWorker(2, "far")
	c.startLeader()
	for range 3 * c.timing.leaseDuration() / time.Millisecond {
		time.Sleep(time.Millisecond)
		history.expireLeases(fakes)
	}
	is.Equal(len(near.running()), 1)
	is.Equal(history.found(), []string{})
}

// Former leaders act until their leases end: they are isolated or frozen at any moment, reach any of the workers, and their
// calls arrive late. No task may run twice, whatever makes it ready meanwhile.
func TestTasksRunOnceWhateverFormerLeadersDo(t *testing.T) {
	for _, maxLease := range []time.Duration{1200 * time.Millisecond, 6 * time.Second} {
		for seed := range uint64(formerLeaderSeeds) {
			t.Run(fmt.Sprintf("%v/%d", maxLease, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { newFormerLeaderScenario(t, maxLease, seed).run() })
			})
		}
	}
}

const (
	formerLeaderSeeds  = 40
	formerLeaderRounds = 6 // takeovers
)

// formerLeaderScenario is a random sequence of takeovers, with jobs that become ready in different ways.
type formerLeaderScenario struct {
	*testCluster
	t        *testing.T
	maxLease time.Duration
	random   *rand.Rand
	fakes    []*fakeWorker
	history  *taskHistory
	jobs     []string
	leader   atomic.Pointer[Dispatcher]
	stops    []func() // of the leaders so far
}

func newFormerLeaderScenario(t *testing.T, maxLease time.Duration, seed uint64) *formerLeaderScenario {
	s := &formerLeaderScenario{t: t, maxLease: maxLease, random: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // repeatable
	for i := range 4 {
		s.fakes = append(s.fakes, newFakeWorker(fmt.Sprintf("w%d", i), 4000))
	}
	s.testCluster = newVirtualCluster(t, s.fakes...)
	s.timing.MaxLease = maxLease
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

// upToLeases returns a random time of at most so many of the longest leases.
func (s *formerLeaderScenario) upToLeases(most float64) time.Duration {
	return s.upTo(time.Duration(most * float64(s.maxLease)))
}

// endLater ends a run after a while, as done or failed. The length follows from its name, as workers start runs in
// no fixed order.
func (s *formerLeaderScenario) endLater(w *fakeWorker, key runKey) {
	random := rand.New(rand.NewPCG(uint64(key.number), uint64(len(key.name))+uint64(key.name[len(key.name)-1]))) //nolint:gosec // repeatable
	length, outcome := time.Duration(random.Int64N(int64(5*s.maxLease/4))), done
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
	go s.runWorkers()
	s.startNext()
	for range formerLeaderRounds {
		for range 1 + s.random.IntN(4) {
			s.submitAny()
		}
		for _, w := range s.fakes {
			s.cutFor(s.term, w, 4)
		}
		time.Sleep(s.upToLeases(1.25))
		s.changeLeader()
	}
	time.Sleep(3 * s.maxLease)
	s.links.healAll()
	s.within(time.Minute, "all jobs are finished", func() bool { return len(s.table.Unfinished()) == 0 })
	for _, stop := range s.stops {
		stop()
	}
	is.New(s.t).Equal(s.history.found(), []string{})
}

// runWorkers makes workers end their runs as soon as their leases have expired, and report themselves if they were given up.
func (s *formerLeaderScenario) runWorkers() {
	for {
		select {
		case <-s.t.Context().Done():
			return
		case <-time.After(time.Millisecond):
			s.history.expireLeases(s.fakes)
			for _, w := range s.fakes {
				if s.table.Worker(w.record.GetId()) == nil {
					s.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w.record}})
				}
			}
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
	frozenFor, stopsAfter := s.upToLeases(1.25), s.upToLeases(2)
	if s.random.IntN(2) == 0 {
		s.links.freeze(former)
		time.AfterFunc(frozenFor, func() { s.links.thaw(former) })
		time.Sleep(s.upTo(300 * time.Millisecond)) // until the others notice
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
	healedAfter := s.upToLeases(2.5)
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
	first := time.Now().Add(s.upToLeases(2))
	switch s.random.IntN(4) {
	case 0:
		s.submit(id, step())
	case 1:
		s.submit(id, step(), dependsOnFirst(step()))
	case 2:
		gang := step()
		gang.Gang = true
		s.submitRepeating(id, first, s.upToLeases(1)+time.Millisecond, 1+s.random.Int32N(3), gang)
	default:
		s.submitRepeating(id, first, s.upToLeases(1)+time.Millisecond, 1+s.random.Int32N(4), step(), dependsOnFirst(step()))
	}
}

func dependsOnFirst(step *apiv1.JobStep) *apiv1.JobStep {
	step.DependsOn = []int32{0}
	return step
}
