package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// unitOfTwo adds a job of two tasks to the pool and returns its unit.
func unitOfTwo(p *pool) *unit {
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "job", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(2, 0)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	return j.units[0]
}

// The metric counted from the first sending and did not show the wait for a slot.
func TestStartLatencyIncludesTheWaitForASlot(t *testing.T) {
	is := is.New(t)
	const wait = time.Minute
	p := fullPool(1)
	u, w := unitOfTwo(p), p.workerList[0]
	w.observeClock(1, time.Now())
	p.startRuns(u, []placement{{u.tasks[0], w, ""}}, time.Now().Add(-wait))
	_, _, sent := p.startRequest(u.tasks[0].run, "", 1)
	is.True(sent)
	is.True(p.handleStartResult(u.tasks[0].run, Response{ClockMs: 1}, nil, time.Now(), 1))
	is.True(p.d.counters.startLatency.Min() >= wait.Milliseconds())
}

// A job that the leader had adopted was counted as started for the first time by its next task.
func TestAdoptedJobDoesNotCountAsFirstStarted(t *testing.T) {
	is := is.New(t)
	p := fullPool(1)
	u, w := unitOfTwo(p), p.workerList[0]
	p.adoptRun(w, runKey{u.tasks[0].name().String(), 1})
	p.startRuns(u, []placement{{u.tasks[1], w, ""}}, time.Now())
	is.Equal(p.d.counters.timeToFirstStart.Count(), int64(0))
}
