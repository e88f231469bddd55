package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Runs that are active when the leader changes continue under the next leader.
func TestRunsAreAdopted(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	_, stop := c.startLeader()
	c.submit("job", stepOf(2, 1000))
	c.eventually("the tasks run", func() bool { return len(w1.running()) == 2 })
	stop()
	c.startLeader()
	c.eventually("the worker has seen the token of the next leader", func() bool {
		w1.mu.Lock()
		defer w1.mu.Unlock()
		return w1.token == 2
	})
	w1.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(w1.startCount(), 2)
}

// A worker that answered the next leader before that had loaded the jobs was told to stop its runs, as their
// tasks were not known, and the tasks were started elsewhere while they still ran.
func TestRunsAreAdoptedWhileManyJobsAreLoaded(t *testing.T) {
	is := is.New(t)
	const waiting = 3000
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	c.timing.MaxLease = cutLease
	_, stop := c.startLeader()
	c.submit("job", stepOf(2, 1000))
	c.eventually("the tasks run", func() bool { return countRunning([]*fakeWorker{w1, w2}) == 2 })
	for i := range waiting {
		c.submit(fmt.Sprintf("waiting-%d", i), stepOf(10, 1000))
	}
	stop()
	d, _ := c.startLeader()
	c.eventually("the workers are reconciled", func() bool {
		p := d.pool(testService)
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.unreconciled) == 0
	})
	is.Equal(countRunsOf([]*fakeWorker{w1, w2}, "job"), 2)
	is.Equal(d.counters.runsStopped.Count(), int64(0))
}

// A worker that does not respond to the next leader may run any task that the
// previous leader could start. None of these tasks is started elsewhere before the
// worker's leases have expired.
func TestTasksOfSilentWorkerWaitForItsLeases(t *testing.T) {
	is := is.New(t)
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	_, stop := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return w1.startCount()+w2.startCount() == 1 })
	first, other := w1, w2
	if w2.startCount() == 1 {
		first, other = w2, w1
	}
	first.withLock(func() { first.silent = true })
	stop()
	c.startLeader()
	c.submit("fresh", stepOf(1, 1000))
	c.eventually("a job of this term starts at once", func() bool { return other.startCount() == 1 })
	other.finishAll(done)
	c.eventually("the old job starts elsewhere", func() bool { return other.startCount() == 2 })
	is.Equal(len(first.running()), 0) // its lease has expired by its own clock
}

// Hold requests without a response must not extend a worker's leases.
func TestSilentWorkerIsRemovedAfterItsLeases(t *testing.T) {
	is := is.New(t)
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return w1.startCount()+w2.startCount() == 1 })
	first, other := w1, w2
	if w2.startCount() == 1 {
		first, other = w2, w1
	}
	first.withLock(func() { first.silent = true })
	begin := time.Now()
	c.eventually("the task starts elsewhere", func() bool { return other.startCount() == 1 })
	is.Equal(len(first.running()), 0)
	is.True(time.Since(begin) < 4*c.timing.MaxLease)
	c.eventually("the worker is removed from the table", func() bool { return len(c.table.Workers()) == 1 })
}

// A worker that was removed is added again by its next report.
func TestRemovedWorkerIsAddedByItsNextReport(t *testing.T) {
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	w1.withLock(func() { w1.silent = true })
	c.eventually("the worker is removed", func() bool { return len(c.table.Workers()) == 0 })
	w1.withLock(func() { w1.silent = false })
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{w1.record}})
	d.WorkerChanged(w1.record)
	c.eventually("the task runs there again", func() bool { return len(w1.running()) == 1 })
}

// A failed run that two leaders process is counted as one failure.
func TestFailureListedTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	_, stop := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	run := w1.running()[0]
	stop()
	// The previous leader committed the end, but its acknowledgement never reached
	// the worker.
	c.table.Apply(0, &apiv1.JobsCommand{Ends: []*apiv1.RunEnd{{Job: "job", Run: run.number, Outcome: failed}}})
	w1.finishAll(failed)
	c.startLeader()
	c.eventually("the task runs again", func() bool { return w1.startCount() == 2 })
	is.True(w1.running()[0].number > run.number)
	w1.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// A new incarnation of a worker has none of the runs of the previous one.
func TestNewIncarnationHasNoRuns(t *testing.T) {
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
	newIncarnation := newFakeWorker("w1", 1000)
	newIncarnation.record.BornUnixMs = 2
	c.mu.Lock()
	c.workers["w1"] = newIncarnation
	c.mu.Unlock()
	c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{newIncarnation.record}})
	d.WorkerChanged(newIncarnation.record)
	c.eventually("the task runs in the new incarnation", func() bool { return len(newIncarnation.running()) == 1 })
	newIncarnation.finishAll(done)
	c.eventually("the job is completed", func() bool { return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// A gang of which a member was lost when the leader changed restarts as a whole.
func TestGangThatLostAMemberRestarts(t *testing.T) {
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	_, stop := c.startLeader()
	gang := stepOf(2, 1000)
	gang.Gang = true
	c.submit("gang", gang)
	c.eventually("the gang runs", func() bool { return len(w1.running()) == 1 && len(w2.running()) == 1 })
	stop()
	number := w1.running()[0].number
	w1.withLock(func() { w1.runs = make(map[runKey]StartRequest) })
	c.startLeader()
	c.eventually("the gang runs again", func() bool {
		a, b := w1.running(), w2.running()
		return len(a) == 1 && len(b) == 1 && a[0].number > number && a[0].number == b[0].number
	})
}

// A job is run even if it is committed after its proposal has timed out.
func TestJobCommittedAfterProposalTimeoutIsRun(t *testing.T) {
	w1 := newFakeWorker("w1", 1000)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(1, 1000)) // applied to the table without a call of the dispatcher
	c.eventually("the task runs", func() bool { return len(w1.running()) == 1 })
}

// A worker whose incarnation has ended is removed from the table, so that it does
// not delay the next leader.
func TestLostWorkerIsRemovedFromTable(t *testing.T) {
	w1, w2 := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	c := newTestCluster(t, w1, w2)
	c.startLeader()
	w1.withLock(func() { w1.noListener = true })
	c.eventually("the worker is removed from the table", func() bool { return len(c.table.Workers()) == 1 })
}

// A run of an unknown job is stopped. Its worker gets no tasks until then, as the
// size of the run is unknown.
func TestUnknownRunIsStopped(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 1000)
	w1.runs[runKey{"ffff.0.0.0", 7}] = StartRequest{}
	w1.deadline = 1 << 40
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submit("job", stepOf(1, 1000))
	c.eventually("the job's task runs", func() bool { return w1.startCount() == 1 })
	is.Equal(w1.highestEnded["ffff.0.0.0"], int64(7))
	is.Equal(len(w1.running()), 1)
}
