package dispatch

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	done   = apiv1.RunOutcome_RUN_OUTCOME_DONE
	failed = apiv1.RunOutcome_RUN_OUTCOME_FAILED

	stopped = apiv1.RunOutcome_RUN_OUTCOME_STOPPED
)

func TestJobRunsToCompletion(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	c.startLeader()
	second := stepOf(2, 1000)
	second.DependsOn = []int32{0}
	c.submit("job", stepOf(1, 2000), second)
	c.eventually("the first step runs", func() bool { return len(w1.running()) == 1 })
	is.Equal(w1.startCount(), 1) // the second step waits for the first
	w1.finishAll(done)
	c.eventually("the second step runs", func() bool { return len(w1.running()) == 2 })
	w1.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// Workers don't check their capacity, so the dispatcher alone must not exceed it.
func TestCapacityIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 2500)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(5, 1000))
	for left := 5; left > 0; {
		c.eventually("tasks run", func() bool { return len(w1.running()) == min(2, left) })
		left -= w1.finishAll(done)
	}
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(w1.startCount(), 5)
}

// A start request without a response may be executed late. Its task is started
// again only after a confirmed stop has made that impossible.
func TestLateStartAfterItsStop(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	w1.startsToLose = maxStartAttempts
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs after its first run was stopped", func() bool { return len(w1.running()) == 1 })
	for _, reply := range w1.deliverLostStarts() {
		is.Equal(reply.Refusal, RefusedSuperseded)
	}
	is.Equal(len(w1.running()), 1)
	w1.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// While it is unknown whether a start request was executed, the run occupies its
// capacity.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	w1.withLock(func() { w1.silent = true })
	c.submit("first", stepOf(1, 1000))
	c.submit("second", stepOf(1, 1000))
	p := d.pool(testService)
	held := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		if worker := p.workers["w1"]; worker != nil {
			return len(worker.runs)
		}
		return 0
	}
	c.eventually("the worker is known to be silent", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.workers["w1"].failedCalls > 0
	})
	is.True(held() <= 1)
	w1.withLock(func() { w1.silent = false })
	for range 2 {
		c.eventually("one of the tasks runs", func() bool { return len(w1.running()) == 1 })
		w1.finishAll(done)
	}
	c.eventually("both jobs are completed", func() bool {
		return c.state("first") == apiv1.JobState_JOB_STATE_COMPLETED && c.state("second") == apiv1.JobState_JOB_STATE_COMPLETED
	})
}

// The worker may forget an end only once it is committed.
func TestEndIsCommittedBeforeItIsAcknowledged(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	_, stop := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	c.setNoQuorum(true)
	w1.finishAll(done)
	c.eventually("the run has ended", func() bool { return len(w1.running()) == 0 })
	w1.withLock(func() { is.Equal(w1.ackCursor, int64(0)) })
	is.Equal(c.state("job"), apiv1.JobState_JOB_STATE_RUNNING)
	stop()
	c.setNoQuorum(false)
	c.startLeader()
	c.eventually("the next leader commits the end", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(w1.startCount(), 1)
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	for range 2 {
		c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
		w1.finishAll(failed)
	}
	c.eventually("the job has failed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_FAILED })
	is.Equal(w1.startCount(), 2)
}

func TestCancelledJobIsStopped(t *testing.T) {
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(2, 1000))
	c.eventually("a task runs", func() bool { return len(w1.running()) == 1 })
	c.table.Apply(0, &apiv1.JobsCommand{Cancel: []string{"job"}})
	c.eventually("nothing runs", func() bool { return len(w1.running()) == 0 })
	c.submit("other", stepOf(1, 1000))
	c.eventually("the capacity is free", func() bool { return len(w1.running()) == 1 })
}

// The members of a gang start together or not at all.
func TestGangWaitsUntilAllItsTasksFit(t *testing.T) {
	is := is.New(t)
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	c.startLeader()
	c.submit("small", stepOf(1, 1000))
	c.eventually("the small task runs", func() bool { return w1.startCount()+w2.startCount() == 1 })
	gang := stepOf(2, 1000)
	gang.Gang = true
	c.submit("gang", gang)
	busy, free := w1, w2
	if w2.startCount() == 1 {
		busy, free = w2, w1
	}
	is.Equal(free.startCount(), 0)
	busy.finishAll(done)
	c.eventually("the gang runs", func() bool { return len(w1.running()) == 1 && len(w2.running()) == 1 })
	is.Equal(w1.running()[0].number, w2.running()[0].number)
}

// A start request that was certainly not sent is tried again, and its run is not stopped:
// the other members of the gang go on.
func TestGangStartsAlthoughAConnectionIsMissingForAMoment(t *testing.T) {
	is := is.New(t)
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w1.startsUnsent = 2
	c := newTestCluster(t, w1, w2)
	d, _ := c.startLeader()
	c.submit("gang", newGangStep(2, 1000))
	c.eventually("the gang runs", func() bool { return len(w1.running()) == 1 && len(w2.running()) == 1 })
	is.Equal(w2.startCount(), 1)
	is.Equal(d.counters.runsStopped.Count(), int64(0))
}

// If none of the attempts was sent, the run never existed: its task starts elsewhere, without
// a stop.
func TestTaskMovesAwayFromAWorkerWithoutConnections(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	w1.startsUnsent = maxStartAttempts
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	is.Equal(d.counters.startsRefused.Count(), int64(0))
	is.Equal(d.counters.runsStopped.Count(), int64(0))
}

// A job was counted as begun when its first start was decided on, although no worker started
// any of its tasks.
func TestJobWithoutAStartedTaskIsPending(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	w1.startsUnsent = 1 << 20
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("starts were attempted", func() bool { return d.counters.startAttempts.Count() > maxStartAttempts })
	is.Equal(c.state("job"), apiv1.JobState_JOB_STATE_QUEUED)
	is.Equal(c.table.Pending(testQueue().GetName()), int64(1))
	w1.withLock(func() { w1.startsUnsent = 0 })
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	c.eventually("the job is running", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_RUNNING })
	is.Equal(c.table.Pending(testQueue().GetName()), int64(0))
}
