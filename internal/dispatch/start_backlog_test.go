package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Load pattern: the leader decides on more starts than it can send. An urgent task starts
// next, not after all starts that were decided on before it.
func TestUrgentStartDoesNotQueueBehindOthers(t *testing.T) {
	is := is.New(t)
	const workers, slots, startTime = 200, 4, 20 * time.Millisecond
	var fakes []*fakeWorker
	for i := range workers {
		w := newFakeWorker(fmt.Sprintf("w%03d", i), 1000)
		w.startTime = startTime
		fakes = append(fakes, w)
	}
	c := newTestCluster(t, fakes...)
	c.callLimits = CallLimits{Orders: slots}
	c.timing.MaxLease = time.Minute // a test process that gets no processor must not lose all runs
	c.startLeader()
	c.eventually("the workers have reported", func() bool {
		for _, w := range fakes {
			if w.holdCount() == 0 {
				return false
			}
		}
		return true
	})
	other := testQueue()
	other.Priority = 2
	c.submitTo(other, "others", stepOf(workers-1, 1000))
	c.eventually("the first tasks run", func() bool { return countRunsOf(fakes, "others") >= slots })
	startedBefore := countRunsOf(fakes, "others")
	c.submit("urgent", stepOf(1, 1000))
	c.eventually("the urgent task runs", func() bool { return countRunsOf(fakes, "urgent") == 1 })
	is.True(countRunsOf(fakes, "others")-startedBefore <= workers/4)
	c.eventually("all tasks run", func() bool { return countRuns(fakes) == workers })
}

// A start that waited for so long that its ticket has expired is not sent: the worker
// would refuse it.
func TestStartIsNotSentWithAnExpiredTicket(t *testing.T) {
	is := is.New(t)
	p := fullPool(1)
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "job", Queue: restrictedQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{stepOf(1, 0)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(j)
	w, u := p.workerList[0], j.units[0]
	w.observeClock(1, time.Now())
	for _, c := range []struct {
		expires time.Time
		sent    bool
	}{{time.Now().Add(-time.Second), false}, {time.Now().Add(time.Minute), true}} {
		u.advice.recordAnswer([]*worker{w}, map[string]string{w.record.GetId(): "ticket"}, c.expires)
		p.startRuns(u, []placement{{u.tasks[0], w, "ticket"}}, time.Now())
		_, _, sent := p.startRequest(u.tasks[0].run, "", 1)
		is.Equal(sent, c.sent)
		is.Equal(u.tasks[0].run != nil, c.sent)
	}
}
