package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Long-running tasks that fail soon after each start quarantined all workers, one after the other, and took each probe:
// nothing else started, on workers with free capacity.
func TestFailingLongRunningTasksLeaveTheWorkersToOthers(t *testing.T) {
	is := is.New(t)
	var workers []*fakeWorker
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		workers = append(workers, newFakeWorker(id, 16000))
	}
	c := newTestCluster(t, workers...)
	for _, w := range workers {
		w.onStart = func() {
			for key := range w.runs {
				if strings.HasPrefix(key.name, "failing") {
					time.AfterFunc(20*time.Millisecond, func() {
						w.withLock(func() {
							if _, runs := w.runs[key]; runs {
								w.endLocked(key, apiv1.RunOutcome_RUN_OUTCOME_FAILED)
							}
						})
					})
				}
			}
		}
	}
	d, _ := c.startLeader()
	for _, id := range []string{"failing1", "failing2", "service"} {
		c.submit(id, &apiv1.JobStep{Count: 1, CpuMillis: 1000, LongRunning: true})
	}
	c.eventually("many runs have failed", func() bool { return d.counters.endsFailed.Count() > 12 })
	c.eventually("the service runs", func() bool { return countRunsOf(workers, "service") == 1 })
	for _, w := range workers {
		w.withLock(func() {
			for key := range w.runs {
				if strings.HasPrefix(key.name, "service") {
					w.endLocked(key, apiv1.RunOutcome_RUN_OUTCOME_FAILED)
				}
			}
		})
	}
	c.submit("ordinary", stepOf(1, 1000))
	const bound = 3 * time.Second // for which the users let a task wait beside free capacity
	c.within(bound, "the service and the job run", func() bool {
		return countRunsOf(workers, "service") == 1 && countRunsOf(workers, "ordinary") == 1
	})
	is.True(d.counters.workersQuarantined.Count() <= 2) // a task that fails on one worker says that the worker may be the cause
}
