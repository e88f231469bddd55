package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// While a run was being stopped its worker was polled without a wait, as often as it answered: with a gang
// or a few preempted runs at any time, more often than all other workers together.
func TestPollsWaitWhileARunIsBeingStopped(t *testing.T) {
	is := is.New(t)
	w := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w.running()) == 1 })
	holds := w.holdCount()
	c.eventually("the worker has listed the run", func() bool { return w.holdCount() >= holds+2 })
	w.withLock(func() { w.stopsHeld = true })
	c.table.Apply(0, &apiv1.JobsCommand{Cancel: []string{"job"}})
	c.eventually("the stop is confirmed", func() bool {
		confirmed := false
		w.withLock(func() { confirmed = w.highestEnded[w.starts[0].Task] > 0 })
		return confirmed
	})
	holds = w.holdCount()
	const stopTime = 400 * time.Millisecond
	time.Sleep(stopTime)
	is.True(w.holdCount()-holds <= int(stopTime/unconfirmedStopWait))
	w.finishAll(stopped)
	c.submit("next", stepOf(1, 1000)) // needs the capacity
	begin := time.Now()
	c.eventually("the next task runs", func() bool { return len(w.running()) == 1 })
	t.Logf("the capacity is used again after %v", time.Since(begin))
}

// A poll waits for the end of a run that the worker has, and not at all for one that it has only
// been told to reject.
func TestStopWait(t *testing.T) {
	is := is.New(t)
	w := newWorker(&apiv1.PoolWorker{Id: "w1"})
	is.Equal(w.stopWait(), maxHoldWait)
	executed := &run{name: "a.0.0.0", number: 1, worker: w, phase: phaseStopping, located: true}
	w.addRun(executed)
	is.Equal(w.stopWait(), maxHoldWait)
	executed.stopConfirmed = true
	is.Equal(w.stopWait(), maxHoldWait)
	uncertain := &run{name: "b.0.0.0", number: 1, worker: w, phase: phaseStopping}
	w.addRun(uncertain)
	is.Equal(w.stopWait(), unconfirmedStopWait)
	uncertain.stopConfirmed = true
	is.Equal(w.stopWait(), time.Duration(0))
}
