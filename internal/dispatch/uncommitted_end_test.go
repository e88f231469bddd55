package dispatch

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// A worker was lost while the end of its run was being committed. The end was given up with it,
// and the task was never started again nor completed.
func TestEndIsCommittedAlthoughItsWorkerIsLost(t *testing.T) {
	for name, outcome := range map[string]apiv1.RunOutcome{"done": done, "failed": failed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newFakeWorker("w1", 1000)
			c := newTestCluster(t, w)
			d, _ := c.startLeader()
			c.submit("job", stepOf(1, 1000))
			c.eventually("the task runs", func() bool { return len(w.running()) == 1 })
			c.setNoQuorum(true)
			holds := w.holdCount()
			w.finishAll(outcome)
			c.eventually("the end is listed", func() bool { return w.holdCount() > holds })
			record := proto.CloneOf(w.record)
			w.crash()
			d.WorkerChanged(laterIncarnation(record))
			c.eventually("the worker is lost", func() bool { return d.counters.workersLost.Count() == 1 })
			c.setNoQuorum(false)
			next := w.restart()
			c.table.Apply(0, &apiv1.JobsCommand{Workers: []*apiv1.PoolWorker{next}})
			c.eventually("the job is completed", func() bool {
				w.finishAll(done)
				return c.state("job") == apiv1.JobState_JOB_STATE_COMPLETED
			})
			if outcome == done {
				is.Equal(w.startCount(), 1)
			}
		})
	}
}

func laterIncarnation(record *apiv1.PoolWorker) *apiv1.PoolWorker {
	later := proto.CloneOf(record)
	later.BornUnixMs++
	return later
}
