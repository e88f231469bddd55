package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// cutLease is the longest lease. The leases, half as long, outlast a few refused calls also on a
// slow machine: a task may start elsewhere after they have expired.
const cutLease = 10 * time.Second

// A worker behind a link that reset connections was taken for ended, and its tasks were
// started elsewhere while they ran on under its lease.
func TestRefusedConnectionsAreNoProofOfAnEnd(t *testing.T) {
	is := is.New(t)
	first, second := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	workers := []*fakeWorker{first, second}
	c := newTestCluster(t, first, second)
	c.timing.MaxLease = cutLease
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return countRunning(workers) == 1 })
	cut := first
	if len(second.running()) == 1 {
		cut = second
	}
	for range 3 { // shorter than the lease each time
		cut.withLock(func() { cut.noListener = true })
		failed := d.counters.holdsFailed.Count()
		c.eventually("calls are refused", func() bool {
			return d.counters.holdsFailed.Count() >= failed+noListenerCallLimit+1 || countRunning(workers) > 1
		})
		is.Equal(countRunning(workers), 1)
		cut.withLock(func() { cut.noListener = false })
		answered := d.counters.holds.Count() - d.counters.holdsFailed.Count()
		c.eventually("it answers again", func() bool { return d.counters.holds.Count()-d.counters.holdsFailed.Count() > answered+1 })
	}
	is.Equal(first.startCount()+second.startCount(), 1)
	is.Equal(d.counters.workersCrashed.Count(), int64(0))

	cut.withLock(func() { cut.noListener = true })
	most := 0
	c.eventually("the task runs elsewhere", func() bool {
		cut.withLock(cut.endExpiredRuns)
		most = max(most, countRunning(workers))
		return first.startCount()+second.startCount() == 2
	})
	is.Equal(most, 1)
	is.Equal(d.counters.workersCrashed.Count(), int64(0)) // behind the link it may have run all the time
	for _, w := range workers {
		w.finishAll(done)
	}
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}
