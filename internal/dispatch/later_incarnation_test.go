package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// clockAdvance is longer than the long polls in which the leader reads a worker's clock.
const clockAdvance = time.Second

// A start that was sent again reached the next incarnation of a crashed worker under the same
// id. Its run was taken for lost with the former one, and the task ran twice at a time.
func TestStartThatReachesTheNextIncarnationIsAdopted(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, first, second)
	c.startLeader()
	time.Sleep(2 * clockAdvance) // the clocks have advanced
	for _, w := range []*fakeWorker{first, second} {
		w.withLock(func() {
			w.startsToLose, w.discardLost = 1, true
			w.onLost = func() { // it crashes, and is back before the request is sent again
				w.crashLocked()
				w.restartLocked()
			}
		})
	}
	c.submit("job", stepOf(1, 1000))
	workers := []*fakeWorker{first, second}
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	most := 0
	watch := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			most = max(most, countRunning(workers))
		}
	}
	watch(c.timing.MaxLease / 2)
	for _, w := range workers { // the workers report anew
		c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w.currentRecord()}})
	}
	watch(2 * c.timing.MaxLease)
	is.Equal(most, 1)
	c.eventually("the job is completed", func() bool {
		first.finishAll(done)
		second.finishAll(done)
		return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
	})
}

// A start is not sent again on a new connection after the worker has closed the first one: the
// worker has probably ended, and its next incarnation would carry the request out.
func TestStartIsNotSentAgainAfterALostConnection(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	d, _ := c.startLeader()
	w.withLock(func() {
		w.startsToLose, w.discardLost, w.lostError = 1, true, ErrConnectionLost
	})
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning([]*fakeWorker{w}) == 1 })
	is.Equal(d.counters.runsStopped.Count(), int64(1)) // the first run
	w.withLock(func() { is.True(w.starts[0].Run > w.highestEnded[w.starts[0].Task]) })
}

// A response that was read late, after younger ones, showed an earlier reading of the worker's
// clock. The worker was taken for a later incarnation, and its tasks were started elsewhere.
func TestLateResponseIsNotOfALaterIncarnation(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	workers := []*fakeWorker{first, second}
	for _, w := range workers {
		w.answerTime = 2 * clockAdvance
	}
	c := newTestCluster(t, workers...)
	c.timing.MaxLease = cutLease
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	for end := time.Now().Add(3 * clockAdvance); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		is.Equal(countRunning(workers), 1)
	}
	is.Equal(d.counters.workersLost.Count(), int64(0))
	is.Equal(first.startCount()+second.startCount(), 1)
}
