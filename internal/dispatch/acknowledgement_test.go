package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// A leader whose commits took longer than 100 ms asked for a report before each acknowledgement, which doubled
// the polls of a leader that was late already.
func TestSlowCommitsDoNotDoubleThePolls(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	c.commitTime = 150 * time.Millisecond
	d, _ := c.startLeader()
	const ends = 8
	before := d.counters.holds.Count()
	begin := time.Now()
	for i := range ends {
		id := fmt.Sprintf("job-%d", i)
		c.submit(id, stepOf(1, 1000))
		c.eventually("the task runs", func() bool { return len(w.running()) == 1 })
		w.finishAll(done)
		c.eventually("its end is acknowledged", func() bool {
			acknowledged := false
			w.withLock(func() { acknowledged = len(w.ended) == 0 })
			return acknowledged && c.state(id) == apiv1.JobState_JOB_STATE_COMPLETED
		})
	}
	longPolls := int64(time.Since(begin)/(c.timing.leaseDuration()/3)) + 1 // that no end ended
	is.True(d.counters.holds.Count()-before <= ends+longPolls)
	is.Equal(d.counters.reportsBeforeAck.Count(), int64(0))
}

// After a poll without a response the next one goes over a new connection, which may lead to the next
// incarnation. The worker lists its ends over it before they are acknowledged.
func TestEndsAreAcknowledgedAfterAReportOverANewConnection(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w.running()) == 1 })
	w.finishAll(done)
	w.withLock(func() { w.polled = false })
	c.eventually("its end is acknowledged", func() bool {
		acknowledged := false
		w.withLock(func() { acknowledged = len(w.ended) == 0 })
		return acknowledged && c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
	})
	is.True(d.counters.reportsBeforeAck.Count() <= 1)
}
