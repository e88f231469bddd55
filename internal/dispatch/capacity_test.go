package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// An older report that arrived after one with a smaller capacity restored the larger one, and
// tasks were started beyond the worker's capacity.
func TestOlderReportDoesNotRestoreACapacityThatHasShrunk(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 4000)
	w1.record.Sequence = 1
	c := newTestCluster(t, w1)
	watch := watchCapacity(c, w1)
	c.startLeader()
	older := watch.resize(w1, cpuOf(3000))
	c.apply(watch.resize(w1, cpuOf(1000)))
	c.apply(older)
	c.submit("job", stepOf(4, 1000))
	c.eventually("a task runs", func() bool { return len(w1.running()) > 0 })
	w1.finishAll(done)
	c.eventually("another task runs", func() bool { return w1.startCount() >= 2 })
	is.Equal(watch.found(), []string{})
}

// Both reports arrive within the time in which reports are collected for one commit.
func TestOlderReportLaterInOneCommandChangesNothing(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 4000)
	w1.record.Sequence = 1
	c := newTestCluster(t, w1)
	watch := watchCapacity(c, w1)
	c.startLeader()
	older := watch.resize(w1, cpuOf(3000))
	c.apply(watch.resize(w1, cpuOf(1000)), older)
	c.submit("job", stepOf(4, 1000))
	c.eventually("a task runs", func() bool { return len(w1.running()) > 0 })
	w1.finishAll(done)
	c.eventually("another task runs", func() bool { return w1.startCount() >= 2 })
	is.Equal(watch.found(), []string{})
}

// Tasks that need only CPU were started on a worker whose memory had shrunk below what its
// runs occupy.
func TestNothingStartsOnAWorkerOverItsMemory(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 4000)
	c := newTestCluster(t, w1)
	watch := watchCapacity(c, w1)
	d, _ := c.startLeader()
	large := stepOf(1, 1000)
	large.MemoryMb = 1 << 19
	c.submit("large", large)
	c.eventually("the large task runs", func() bool { return len(w1.running()) == 1 })
	c.apply(watch.resize(w1, resources{cpu: 4000, memory: 1 << 10}))
	c.submit("small", stepOf(1, 1000))
	c.afterPasses(d)
	is.Equal(d.counters.startsSent.Count(), int64(1))
	w1.finishAll(done)
	c.eventually("the small task runs", func() bool { return countRunsOf([]*fakeWorker{w1}, "small") == 1 })
	is.Equal(watch.found(), []string{})
}

// A start that waited for a slot was sent although the worker's capacity had shrunk meanwhile.
func TestStartIsNotSentOnceTheCapacityHasShrunk(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	c.callLimits = CallLimits{Orders: 1}
	watch := watchCapacity(c, w1)
	d, _ := c.startLeader()
	c.eventually("the worker has reported", func() bool { return w1.holdCount() > 0 })
	w1.withLock(func() { // the worker answers nothing meanwhile
		c.submit("job", stepOf(2, 1000))
		c.eventually("both starts are decided on and one is sent", func() bool {
			return d.counters.startsSent.Count() == 2 && d.counters.startAttempts.Count() == 1
		})
		c.apply(watch.resize(w1, cpuOf(1000)))
	})
	c.eventually("one of the tasks runs", func() bool { return len(w1.running()) > 0 })
	c.afterPasses(d)
	is.Equal(watch.found(), []string{})
	w1.finishAll(done)
	c.eventually("the other task runs", func() bool { return w1.startCount() == 2 })
	is.Equal(watch.found(), []string{})
}

// Sending an unanswered start again might start the run only now, after the capacity has shrunk.
func TestUnansweredStartIsStoppedOnceTheCapacityHasShrunk(t *testing.T) {
	is := is.New(t)
	p := fullPool(1)
	gang := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "gang", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{newGangStep(2, 0)}},
	}}, time.Now(), time.Now().UnixMilli())
	p.insertJob(gang)
	w, u := p.workerList[0], gang.units[0]
	w.observeClock(1, time.Now())
	p.startRuns(u, []placement{{u.tasks[0], w, ""}, {u.tasks[1], w, ""}}, time.Now())
	unanswered, unsent := u.tasks[0].run, u.tasks[1].run
	_, _, sent := p.startRequest(unanswered, "", 1)
	is.True(sent)
	is.True(!p.handleStartResult(unanswered, Response{}, errNoResponse, time.Now(), 1))
	shrunk := proto.CloneOf(w.record)
	shrunk.CpuMillis = 1000
	p.updateWorkerRecord(shrunk)
	_, _, sent = p.startRequest(unanswered, "", 2)
	is.True(!sent)
	is.Equal(unanswered.phase, phaseStopping) // it may run, and counts until its stop is confirmed
	is.Equal(w.runs[unanswered.key()], unanswered)
	_, _, sent = p.startRequest(unsent, "", 1)
	is.True(!sent)
	is.Equal(u.tasks[1].run, nil)
}
