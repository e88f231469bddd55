package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const endsPerPage = 4

// Runs whose ends did not fit in one response of their worker were taken for lost and started
// again, though they had ended and their ends were listed right after.
func TestEndsBeyondAPageAreNotLost(t *testing.T) {
	for _, tasks := range []int32{endsPerPage - 1, endsPerPage, endsPerPage + 1, 2 * endsPerPage, 3*endsPerPage + 1} {
		for _, outcome := range []apiv1.RunOutcome{done, failed} {
			t.Run(fmt.Sprintf("%d ends %v", tasks, outcome), func(t *testing.T) {
				is := is.New(t)
				w := newFakeWorker("w1", 100_000)
				w.endsPerPage = endsPerPage
				c := newTestCluster(t, w)
				d, _ := c.startLeader()
				queue := testQueue()
				queue.MaxAttempts = 1
				c.submitTo(queue, "job", stepOf(tasks, 1000))
				c.eventually("the tasks run", func() bool { return len(w.running()) == int(tasks) })
				w.withLock(func() { w.silent = true })
				w.finishAll(outcome)
				w.withLock(func() { w.silent = false })
				want := apiv1.JobState_JOB_STATE_COMPLETED
				if outcome == failed {
					want = apiv1.JobState_JOB_STATE_FAILED
				}
				c.eventually("the job has ended", func() bool { return c.state("job") == want })
				c.eventually("all ends are acknowledged", func() bool { return w.acknowledged() == int64(tasks) })
				is.Equal(w.startCount(), int(tasks))
				is.Equal(d.counters.runsLost.Count(), int64(0))
			})
		}
	}
}

// A new leader started tasks whose ends were on a later page, as all runs of its predecessor
// seemed to be known after the first one.
func TestNewLeaderReadsAllPagesOfEnds(t *testing.T) {
	for _, tasks := range []int32{endsPerPage, endsPerPage + 1, 3*endsPerPage + 1} {
		t.Run(fmt.Sprintf("%d ends", tasks), func(t *testing.T) {
			is := is.New(t)
			w, other := newFakeWorker("w1", 100_000), newFakeWorker("w2", 0)
			w.endsPerPage = endsPerPage
			c := newTestCluster(t, w, other)
			_, stop := c.startLeader()
			c.submit("job", stepOf(tasks, 1000))
			c.eventually("the tasks run", func() bool { return len(w.running()) == int(tasks) })
			stop()
			w.finishAll(done)
			c.startLeader()
			c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
			c.eventually("all ends are acknowledged", func() bool { return w.acknowledged() == int64(tasks) })
			is.Equal(w.startCount(), int(tasks))
		})
	}
}

// acknowledged returns the sequence up to which the leader has acknowledged the worker's ends.
func (w *fakeWorker) acknowledged() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackCursor
}
