package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// mostRunning returns the highest number of runs at a time on the workers during the period.
func mostRunning(workers []*fakeWorker, period time.Duration) int {
	most := 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		most = max(most, countRunning(workers))
	}
	return most
}

// report applies the report of the worker's current incarnation to the table.
func (c *testCluster) report(w *fakeWorker) {
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w.currentRecord()}})
}

// A worker crashed and was back when it received a start. The run was counted as the former
// incarnation's, given up with it and started elsewhere beside itself.
func TestRunOfTheNextIncarnationIsNotLostWithTheFormer(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports bool // before the leader notices the next incarnation by its list of runs
	}{{"it reports", true}, {"it answers", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
			workers := []*fakeWorker{first, second}
			c := newTestCluster(t, workers...)
			d, _ := c.startLeader()
			for _, w := range workers {
				w.withLock(func() { w.onReceipt = w.rebornLocked })
			}
			c.submit("job", stepOf(1, 1000))
			c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
			reborn := first
			if len(second.running()) == 1 {
				reborn = second
			}
			if test.reports {
				c.report(reborn)
			}
			is.Equal(mostRunning(workers, c.timing.MaxLease), 1)
			c.report(reborn)
			is.Equal(mostRunning(workers, c.timing.MaxLease), 1)
			is.Equal(first.startCount()+second.startCount(), 1)
			is.Equal((&crashRig{testCluster: c}).crashesOf(d, "job"), 0) // the task ran in neither that crashed
			reborn.finishAll(done)
			c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
		})
	}
}

// A start that got no response was executed by the next incarnation of its worker, after the task
// had been started elsewhere.
func TestUnansweredStartIsFencedInTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	workers := []*fakeWorker{first, second}
	c := newTestCluster(t, workers...)
	c.startLeader()
	lost := make(chan *fakeWorker, 2)
	for _, w := range workers {
		w.withLock(func() {
			w.startsToLose, w.lostError = 1, ErrConnectionLost
			w.onLost = func() {
				other := first
				if w == first {
					other = second
				}
				go other.withLock(func() { other.startsToLose = 0 })
				w.rebornLocked()
				lost <- w
			}
		})
	}
	c.submit("job", stepOf(1, 1000))
	reborn := <-lost
	c.report(reborn)
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	reborn.deliverLostStarts()
	is.Equal(mostRunning(workers, c.timing.MaxLease), 1)
	c.eventually("the job is completed", func() bool {
		first.finishAll(done)
		second.finishAll(done)
		return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
	})
}

// The next incarnation of a worker, whose clock is younger, executed a start under the longest
// lease and was cut off. The task was started elsewhere once the lease was over that the former
// incarnation would have had.
func TestSilentNextIncarnationKeepsItsRunForTheLongestLease(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	workers := []*fakeWorker{first, second}
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = 7 * time.Second
	for _, w := range workers {
		w.createdAt, w.maxLease = time.Now().Add(-time.Hour), c.timing.MaxLease
	}
	c.startLeader()
	for _, w := range workers {
		w.withLock(func() {
			w.onReceipt = func() {
				w.crashLocked()
				w.restartLocked()
				w.losesAnswer = true
			}
		})
	}
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	for _, w := range workers {
		w.withLock(func() { w.onReceipt = nil })
	}
	most := 0
	c.eventually("the task runs elsewhere", func() bool {
		most = max(most, countRunning(workers))
		return first.startCount()+second.startCount() == 2
	})
	is.Equal(most, 1)
}

// A new leader took the next incarnation of a worker for empty before it had answered. It ran a
// task that the former leader had started.
func TestTakeoverWaitsForTheNextIncarnationOfAWorker(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	workers := []*fakeWorker{first, second}
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = cutLease
	_, stop := c.startLeader()
	for _, w := range workers {
		w.withLock(func() { w.startsToLose = 4 })
	}
	c.submit("job", stepOf(1, 1000))
	received := func(w *fakeWorker) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.lostStarts) > 0
	}
	c.eventually("a start is sent", func() bool { return received(first) || received(second) })
	stop()
	reborn, other := first, second
	if received(second) {
		reborn, other = second, first
	}
	other.withLock(func() { other.startsToLose = 0 })
	reborn.withLock(func() {
		reborn.rebornLocked()
		reborn.silent, reborn.startsToLose = true, 0
	})
	reborn.deliverLostStarts()
	c.startLeader()
	c.report(reborn)
	is.Equal(mostRunning(workers, time.Second), 1)
	reborn.withLock(func() { reborn.silent = false })
	is.Equal(mostRunning(workers, time.Second), 1)
	is.Equal(other.startCount(), 0)
	reborn.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// A poll that acknowledged ends of the former incarnation reached the next one, which forgot its
// own ends of these sequences. A task that was done there was started again.
func TestEndsOfTheNextIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	c.startLeader()
	c.submit("before", stepOf(3, 300))
	c.eventually("the first job is completed", func() bool {
		w.finishAll(done)
		return c.state("before") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	starts := w.startCount()
	w.withLock(func() {
		w.onReceipt = w.rebornLocked
		w.onStart = func() {
			for key := range w.runs {
				w.endLocked(key, done)
			}
		}
	})
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task is started", func() bool { return w.startCount() > starts })
	holds := w.holdCount()
	c.eventually("the next incarnation has answered", func() bool { return w.holdCount() > holds })
	c.eventually("the job is completed", func() bool {
		c.report(w)
		return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	is.Equal(w.startCount(), starts+1)
}

// A clock that shows less than the time since the last poll may be of a later incarnation.
func TestClockReadingsOfALaterIncarnation(t *testing.T) {
	is := is.New(t)
	m := clock.NewManual(time.Unix(1_700_000_000, 0))
	w := newWorker(&apiv1.PoolWorker{Id: "w1"})
	w.answeredPoll = m.Read()
	is.True(!w.hasAnswered(1e6, m.Read())) // it has never answered
	w.synced = true
	is.True(w.hasAnswered(1e6, m.Read()))
	m.Advance(time.Second)
	is.True(!w.hasAnswered(1000, m.Read()))
	is.True(!w.hasAnswered(1020, m.Read())) // a clock may run faster than ours by its lowest rate
	is.True(w.hasAnswered(1050, m.Read()))
	m.Suspend(time.Minute)
	is.True(!w.hasAnswered(1050, m.Read()))
}
