package failure_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestDeadlyTaskCrashesWorkerAfterWorker submits jobs of which some contain a task that
// crashes each worker that starts it, while all daemons run without a fault.
func TestDeadlyTaskCrashesWorkerAfterWorker(t *testing.T) {
	for name, deadly := range map[string]struct {
		seed  int64
		tasks int
		gang  bool
		delay time.Duration
	}{
		"at its start":               {281, 1, false, 0},
		"after a part of its work":   {282, 1, false, soakMaxCrashDelay / 2},
		"beside tasks of its job":    {283, 4, false, soakMaxCrashDelay / 2},
		"beside members of its gang": {284, 3, true, soakMaxCrashDelay / 2},
	} {
		t.Run(name, func(t *testing.T) {
			c, stop := newCalmSoakCell(t, deadly.seed)
			random := rand.New(rand.NewSource(deadly.seed))
			client := &http.Client{Timeout: soakCallTimeout}
			for i := range 40 {
				id := fmt.Sprintf("%016x", random.Uint64())
				tasks, gang := 1+random.Intn(4), random.Intn(4) == 0
				isDeadly := i%10 == 5
				if isDeadly {
					tasks, gang = deadly.tasks, deadly.gang
				}
				c.checker.jobSubmitted(id, tasks, gang)
				if isDeadly {
					c.checker.jobIsDeadly(id, random.Intn(tasks), deadly.delay)
				}
				c.submit(client, random, id, soakJobBody(tasks, gang))
			}
			c.awaitJobsFinished()
			if !c.checker.deadlyJobsResolved() {
				t.Errorf("a job with a deadly task is not reported as finished")
			}
			stop()
		})
	}
}

// newCalmSoakCell starts a cell in which bounds on time hold. The returned function stops
// it and reports the violations.
func newCalmSoakCell(t *testing.T, seed int64) (c *soakCell, stop func()) {
	t.Helper()
	c = newSoakCell(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.runOperator(ctx) })
	for _, w := range c.workers {
		group.Go(func() { w.sendHeartbeats(ctx) })
	}
	t.Cleanup(cancel)
	await(t, "the cell to form and to serve a configuration", c.serving)
	await(t, "the cell to be without change", c.checker.inTouch)
	return c, func() {
		cancel()
		group.Wait()
		t.Log(c.checker.summary())
		t.Log(c.checker.cancelSummary())
		t.Log(c.checker.deadlySummary())
		t.Logf("%d starts beyond a capacity that had shrunk by leaders not in touch", c.excusedOverruns.Load())
		for _, violation := range c.checker.recordedViolations() {
			t.Error(violation)
		}
	}
}
