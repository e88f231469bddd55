package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// quarantined returns the health of a worker on which too many runs have failed, and a time
// at which it may be probed.
func quarantined() (*health, time.Time) {
	h, now := &health{}, time.Now()
	for _, job := range []string{"a", "b", "c"} {
		h.recordFailure(job, now)
	}
	return h, now.Add(h.backoff + time.Millisecond)
}

func probeOf(longRunning bool) *run {
	u := &unit{job: &job{id: "probe", queue: testQueue()}, spec: &apiv1.JobStep{LongRunning: longRunning}}
	return &run{name: "probe.0.0.0", number: 7, task: &task{unit: u}}
}

// A worker whose probe never gives a result got no other one and so no work any more: a
// long-running task as its probe does not end, and one that is stopped says nothing.
func TestWorkerIsProbedAgainAfterAProbeWithoutAResult(t *testing.T) {
	t.Run("long-running", func(t *testing.T) {
		is := is.New(t)
		h, now := quarantined()
		is.True(h.schedulable(now))
		h.recordPlacement(probeOf(true), now)
		is.True(!h.schedulable(now.Add(longRunningProbe)))
		is.True(h.schedulable(now.Add(longRunningProbe + time.Millisecond)))
	})
	t.Run("stopped", func(t *testing.T) {
		is := is.New(t)
		h, now := quarantined()
		r := probeOf(false)
		h.recordPlacement(r, now)
		h.recordNoResult(runKey{"other.0.0.0", 7})
		is.True(!h.schedulable(now.Add(time.Hour)))
		h.recordNoResult(r.key())
		is.True(h.schedulable(now))
	})
}

// The failures of a long-running task say something about a worker while they are soon after their starts and all there.
func TestLongRunningFailuresThatBlameAWorker(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	u := &unit{job: &job{id: "service", queue: testQueue()}, spec: &apiv1.JobStep{LongRunning: true}}
	service := &task{unit: u}
	w1, w2 := newWorker(&apiv1.PoolWorker{Id: "w1"}), newWorker(&apiv1.PoolWorker{Id: "w2"})
	number := int64(0)
	start := func(w *worker, age time.Duration) *run {
		number++
		r := &run{number: number, worker: w, task: service, startSent: now.Add(-age), confirmedAt: now.Add(-age)}
		service.setRun(r)
		return r
	}
	fail := func(w *worker, age time.Duration) bool {
		start(w, age)
		defer service.setRun(nil)
		return service.recordLongRunningFailure(w, number, now)
	}
	is.True(fail(w1, 0))
	is.True(fail(w1, 0))
	is.True(!fail(w2, 0)) // the task fails on any worker
	is.True(!fail(w2, 0))
	is.True(!fail(w1, 0))
	is.True(!fail(w1, longRunningProbe)) // it has worked there
	is.True(fail(w2, 0))
	start(w1, longRunningProbe)
	service.setRun(nil) // stopped or lapsed
	is.True(fail(w1, 0))
	start(w2, 0).startSent = time.Time{} // by the previous leader: its age is unknown
	is.True(!service.recordLongRunningFailure(w2, number, now))
	is.True(!service.recordLongRunningFailure(w2, number-1, now)) // a run that is not the current one
	service.setRun(nil)
	is.True(!fail(w2, 0))
}
