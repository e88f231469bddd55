package dispatch

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	done   = apiv1.RunOutcome_RUN_OUTCOME_DONE
	failed = apiv1.RunOutcome_RUN_OUTCOME_FAILED
)

func TestJobRunsToCompletion(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 2000)
	w := newWorld(t, one)
	w.lead()
	second := tasks(2, 1000)
	second.DependsOn = []int32{0}
	w.submit("job", tasks(1, 2000), second)
	w.eventually("the first step runs", func() bool { return len(one.running()) == 1 })
	is.Equal(one.began(), 1) // the second step waits for the first
	one.finish(done)
	w.eventually("the second step runs", func() bool { return len(one.running()) == 2 })
	one.finish(done)
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// Workers start whatever they are told, so the dispatcher alone guards capacity.
func TestCapacityIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 2500)
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(5, 1000))
	for left := 5; left > 0; {
		w.eventually("tasks run", func() bool { return len(one.running()) == min(2, left) })
		left -= one.finish(done)
	}
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(one.began(), 5)
}

// A start without an answer may be carried out late. Its task is started
// elsewhere only after a stop has made that impossible.
func TestLateStartAfterItsStop(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	one.loseStarts = maxStartAttempts
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs after its first run was stopped", func() bool { return len(one.running()) == 1 })
	for _, reply := range one.deliverLate() {
		is.Equal(reply.Refusal, RefusedSuperseded)
	}
	is.Equal(len(one.running()), 1)
	one.finish(done)
	w.eventually("the job is completed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
}

// While it is open whether a start was carried out, its room stays taken.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	d, _ := w.lead()
	one.set(func() { one.silent = true })
	w.submit("first", tasks(1, 1000))
	w.submit("second", tasks(1, 1000))
	p := d.pool(testService)
	held := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		if worker := p.workers["w1"]; worker != nil {
			return len(worker.runs)
		}
		return 0
	}
	w.eventually("the worker is known to be silent", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.workers["w1"].failedCalls > 0
	})
	is.True(held() <= 1)
	one.set(func() { one.silent = false })
	for range 2 {
		w.eventually("one of the tasks runs", func() bool { return len(one.running()) == 1 })
		one.finish(done)
	}
	w.eventually("both jobs are completed", func() bool {
		return w.state("first") == apiv1.JobState_JOB_STATE_COMPLETED && w.state("second") == apiv1.JobState_JOB_STATE_COMPLETED
	})
}

// The worker may forget an end only once it is recorded.
func TestEndIsRecordedBeforeItIsForgotten(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	_, stop := w.lead()
	w.submit("job", tasks(1, 1000))
	w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
	w.cutCommits(true)
	one.finish(done)
	w.eventually("holds go on", func() bool { return len(one.running()) == 0 })
	one.set(func() { is.Equal(one.cursor, int64(0)) })
	is.Equal(w.state("job"), apiv1.JobState_JOB_STATE_RUNNING)
	stop()
	w.cutCommits(false)
	w.lead()
	w.eventually("the next leader records it", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_COMPLETED })
	is.Equal(one.began(), 1)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(1, 1000))
	for range 2 {
		w.eventually("the task runs", func() bool { return len(one.running()) == 1 })
		one.finish(failed)
	}
	w.eventually("the job has failed", func() bool { return w.state("job") == apiv1.JobState_JOB_STATE_FAILED })
	is.Equal(one.began(), 2)
}

func TestCancelledJobIsStopped(t *testing.T) {
	one := newFakeWorker("w1", 1000)
	w := newWorld(t, one)
	w.lead()
	w.submit("job", tasks(2, 1000))
	w.eventually("a task runs", func() bool { return len(one.running()) == 1 })
	w.table.Apply(0, &apiv1.JobsCommand{Cancel: []string{"job"}})
	w.eventually("nothing runs", func() bool { return len(one.running()) == 0 })
	w.submit("other", tasks(1, 1000))
	w.eventually("the room is free", func() bool { return len(one.running()) == 1 })
}

// A gang's members start together or not at all.
func TestGangWaitsForAllItsRoom(t *testing.T) {
	is := is.New(t)
	one, two := newFakeWorker("w1", 1000), newFakeWorker("w2", 1000)
	w := newWorld(t, one, two)
	w.lead()
	w.submit("small", tasks(1, 1000))
	w.eventually("the small task runs", func() bool { return one.began()+two.began() == 1 })
	gang := tasks(2, 1000)
	gang.Gang = true
	w.submit("gang", gang)
	busy, free := one, two
	if two.began() == 1 {
		busy, free = two, one
	}
	is.Equal(free.began(), 0)
	busy.finish(done)
	w.eventually("the gang runs", func() bool { return len(one.running()) == 1 && len(two.running()) == 1 })
	is.Equal(one.running()[0].number, two.running()[0].number)
}
