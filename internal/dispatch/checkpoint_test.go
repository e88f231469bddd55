package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// The members of a gang could start from different checkpoints, or from a torn one, if an
// earlier run's end arrived after their starts were decided on.
func TestCheckpointThatArrivesAfterTheDecisionToStart(t *testing.T) {
	is := is.New(t)
	w1 := newFakeWorker("w1", 2000)
	c := newTestCluster(t, w1)
	d, _ := c.startLeader()
	c.eventually("the worker has reported", func() bool { return w1.holdCount() > 0 })
	p := d.pool(testService)
	step := newGangStep(2, 1000)
	step.Checkpointing = true
	j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
		Id: "gang", Queue: testQueue(), Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}},
	}}, time.Now(), time.Now().UnixMilli())
	u := j.units[0]
	func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.insertJob(j)
		w := p.workers["w1"]
		u.tasks[0].saveCheckpoint("first")
		p.startRuns(u, []placement{{u.tasks[0], w, ""}, {u.tasks[1], w, ""}}, time.Now())
		u.tasks[0].saveCheckpoint("second")
	}()
	c.eventually("the gang runs", func() bool { return len(w1.running()) == 2 })
	for _, start := range w1.starts {
		is.Equal(start.Checkpoint, "first")
	}
}
