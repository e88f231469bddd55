package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// bulkStep returns a step of tasks that save their progress and take seconds.
func bulkStep(count int32, cpu int64) *apiv1.JobStep {
	step := stepOf(count, cpu)
	step.Checkpointing = true
	step.EstimateMs = 2000
	return step
}

// bulkQueue returns a queue whose jobs can wait for several times their duration.
func bulkQueue() *apiv1.Queue {
	queue := testQueue()
	queue.Name, queue.Priority, queue.SlackFactor = "bulk", 2, 10
	return queue
}

// urgentQueue returns a queue whose jobs have to start within half a second.
func urgentQueue() *apiv1.Queue {
	queue := testQueue()
	queue.Name, queue.Priority, queue.SlackFactor, queue.LatencyTargetMs = "urgent", 0, 1, 500
	return queue
}

// Load pattern: the pool is full of work that can wait, and a gang as wide as the pool
// arrives that can't. No run ends by itself meanwhile.
func TestGangThatWouldBeLatePreemptsWorkThatCanWait(t *testing.T) {
	is := is.New(t)
	const workers = 6
	var fakes []*fakeWorker
	for i := range workers {
		fakes = append(fakes, newFakeWorker(fmt.Sprintf("w%d", i), 2000))
	}
	c := newTestCluster(t, fakes...)
	c.startLeader()
	c.submitTo(bulkQueue(), "bulk", bulkStep(2*workers, 1000))
	c.eventually("the pool is full", func() bool { return countRunning(fakes) == 2*workers })
	begin := time.Now()
	queue := testQueue()
	queue.Priority = 1
	c.submitTo(queue, "gang", newGangStep(workers, 2000))
	c.eventually("the gang runs", func() bool { return countRunsOf(fakes, "gang") == workers })
	is.True(time.Since(begin) < 2*time.Second)
	for _, w := range fakes {
		w.finishAll(done)
	}
	c.eventually("the bulk tasks run again", func() bool { return countRunsOf(fakes, "bulk") == 2*workers })
	for _, w := range fakes {
		for _, start := range w.starts[len(w.starts)-2:] {
			is.Equal(start.Checkpoint, savedAtStop)
		}
	}
}

// Load pattern: the pool is full of work that can wait, and a burst of urgent jobs arrives.
func TestUrgentTasksPreemptWorkThatCanWait(t *testing.T) {
	w1 := newFakeWorker("w1", 4000)
	c := newTestCluster(t, w1)
	c.startLeader()
	c.submitTo(bulkQueue(), "bulk", bulkStep(4, 1000))
	c.eventually("the pool is full", func() bool { return len(w1.running()) == 4 })
	c.submitTo(urgentQueue(), "urgent", stepOf(2, 1000))
	c.eventually("the urgent tasks run", func() bool { return countRunsOf([]*fakeWorker{w1}, "urgent") == 2 })
	is.New(t).Equal(countRunsOf([]*fakeWorker{w1}, "bulk"), 2) // no more are stopped than necessary
}

func countRunsOf(workers []*fakeWorker, job string) int {
	count := 0
	for _, w := range workers {
		for _, key := range w.running() {
			if name, ok := parseTaskName(key.name); ok && name.job == job {
				count++
			}
		}
	}
	return count
}

func TestRunsThatYield(t *testing.T) {
	now := time.Now()
	const stopTime = 400 * time.Millisecond
	cases := []struct {
		name   string
		change func(r *run)
		yields bool
	}{
		{"work that can wait", func(*run) {}, true},
		{"work that does not save its progress", func(r *run) { r.task.unit.spec.Checkpointing = false }, false},
		{"a member of a gang", func(r *run) { r.task.unit.spec.Gang = true }, false},
		{"a task that lasts", func(r *run) { r.task.unit.spec.LongRunning = true }, false},
		{"a run whose start is not confirmed", func(r *run) { r.phase = phaseStarting }, false},
		{"a task that was preempted often", func(r *run) { r.task.preemptions = maxPreemptions }, false},
		{"work that would become late", func(r *run) { r.task.unit.job.objective = 2300 * time.Millisecond }, false},
		{"work that is late already", func(r *run) { r.task.unit.job.objective = time.Second }, true},
		{"urgent work", func(r *run) { r.task.unit.job.queue.Priority = 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			newUnit := func(queue *apiv1.Queue, step *apiv1.JobStep) *unit {
				j := newJob(&apiv1.JobProgress{Job: &apiv1.CallerJob{
					Id: "job", Queue: queue, Spec: &apiv1.JobSpec{Steps: []*apiv1.JobStep{step}}, AcceptedUnixMs: now.UnixMilli(),
				}}, now, now.UnixMilli())
				j.units[0].rank = rankOf(j.units[0], now)
				return j.units[0]
			}
			u := newUnit(urgentQueue(), stepOf(1, 1000))
			r := &run{task: newUnit(bulkQueue(), bulkStep(1, 1000)).tasks[0], phase: phaseActive}
			c.change(r)
			is.New(t).Equal(r.yieldsTo(u, now, stopTime), c.yields)
		})
	}
}
