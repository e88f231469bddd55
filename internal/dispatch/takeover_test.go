package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// What runs when the leader changes goes on under the next one.
func TestRunsAreAdopted(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 2000)
	w := newWorld(t, one)
	_, stop := w.lead()
	w.submit("job", tasks(2, 1000))
	w.eventually("the tasks run", func() bool { return len(one.running()) == 2 })
	stop()
	w.lead()
	w.eventually("the next leader's token is known", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		return one.token == 2
	})
	one.finish(done)
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(one.began(), 2)
}

// A worker that does not answer the next leader may run any task of before.
// None of them is started elsewhere until its leases have run out.
func TestSilentWorkerIsWaitedOut(t *testing.T) {
	is := is.New(t)
	one, two := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w := newWorld(t, one, two)
	_, stop := w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return one.began()+two.began() == 1 })
	first, other := one, two
	if two.began() == 1 {
		first, other = two, one
	}
	first.set(func() { first.silent = true })
	stop()
	w.lead()
	w.submit("fresh", tasks(1, 1000))
	w.eventually("a job of this term starts at once", func() bool { return other.began() == 1 })
	other.finish(done)
	w.eventually("the old job starts elsewhere", func() bool { return other.began() == 2 })
	is.Equal(len(first.running()), 0) // its lease has run out by its own clock
}

// Unanswered holds must not put off the end of a worker's leases.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	is := is.New(t)
	one, two := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w := newWorld(t, one, two)
	w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return one.began()+two.began() == 1 })
	first, other := one, two
	if two.began() == 1 {
		first, other = two, one
	}
	first.set(func() { first.silent = true })
	begin := time.Now()
	w.eventually("the task starts elsewhere", func() bool { return other.began() == 1 })
	is.Equal(len(first.running()), 0)
	is.True(time.Since(begin) < 4*w.times.MaxLease)
	w.eventually("no later leader waits for it", func() bool { return len(w.table.Workers()) == 1 })
}

// A worker that was given up is taken in again by its next report.
func TestGivenUpWorkerComesBack(t *testing.T) {
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	d, _ := w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
	one.set(func() { one.silent = true })
	w.eventually("it is given up", func() bool { return len(w.table.Workers()) == 0 })
	one.set(func() { one.silent = false })
	w.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{one.record}})
	d.WorkerReported(one.record)
	w.eventually("the task runs there again", func() bool { return len(one.running()) == 1 })
}

// A failed end that two leaders take in is one failure.
func TestFailureListedTwiceCountsOnce(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	_, stop := w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
	run := one.running()[0]
	stop()
	// The former leader recorded the end, but its cursor never reached the worker.
	w.table.Apply(0, &apiv1.JobsCommand{Ends: []*apiv1.RunEnd{{Job: "job", Run: run.number, Outcome: failed}}})
	one.finish(failed)
	w.lead()
	w.eventually("the task runs again", func() bool { return one.began() == 2 })
	is.True(one.running()[0].number > run.number)
	one.finish(done)
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// A worker that starts again under its id holds nothing of before.
func TestNewLifeHoldsNothing(t *testing.T) {
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	d, _ := w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
	reborn := newFakeWorker("w1", 1000)
	reborn.record.BornUnixMs = 2
	w.mu.Lock()
	w.workers["w1"] = reborn
	w.mu.Unlock()
	w.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{reborn.record}})
	d.WorkerReported(reborn.record)
	w.eventually("the task runs in the new life", func() bool { return len(reborn.running()) == 1 })
	reborn.finish(done)
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// A gang that lost a member with the former leader starts again as a whole.
func TestTornGangStartsAgain(t *testing.T) {
	one, two := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w := newWorld(t, one, two)
	_, stop := w.lead()
	gang := tasks(2, 1000)
	gang.Gang = true
	w.submit("gang", gang)
	w.eventually("the gang runs", func() bool { return len(one.running()) == 1 && len(two.running()) == 1 })
	stop()
	number := one.running()[0].number
	one.set(func() { one.runs = make(map[runKey]StartRequest) })
	w.lead()
	w.eventually("the gang runs again", func() bool {
		a, b := one.running(), two.running()
		return len(a) == 1 && len(b) == 1 && a[0].number > number && a[0].number == b[0].number
	})
}

// A job whose proposer gave up waiting, but which was committed, runs.
func TestJobCommittedBehindItsProposer(t *testing.T) {
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(1, 1000)) // applied without a word to the dispatcher
	w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
}

// A worker whose life is over does not delay the next leader.
func TestLostWorkerIsForgotten(t *testing.T) {
	one, two := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w := newWorld(t, one, two)
	w.lead()
	one.set(func() { one.gone = true })
	w.eventually("the table has forgotten it", func() bool { return len(w.table.Workers()) == 1 })
}

// A run of a job that is not known here is stopped, and its worker gets nothing
// until its room is certain.
func TestUnknownRunIsStopped(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	one.runs[runKey{"ffff.0.0.0", 7}] = StartRequest{}
	one.deadline = 1 << 40
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the job's task runs", func() bool { return one.began() == 1 })
	is.Equal(one.stopped["ffff.0.0.0"], int64(7))
	is.Equal(len(one.running()), 1)
}
