package failure_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndIsTakenNoteOfUnlessTheLeaseLapsed checks the checker: a task that was done may start again before that was
// acknowledged only if its worker's lease had lapsed in between.
func TestEndIsTakenNoteOfUnlessTheLeaseLapsed(t *testing.T) {
	const task, holdMs = "j.0.0.0", 1_000
	for _, tc := range []struct {
		name     string
		lapse    time.Duration // for which the lease has lapsed when the task starts again; negative: it is left of the lease
		restarts bool
		allowed  bool
	}{
		{"the lease lapsed and the task started again", 500 * time.Millisecond, true, true},
		{"the lease lapsed", 500 * time.Millisecond, false, true},
		{"the task started again under a lease", -500 * time.Millisecond, true, false},
		{"the task started again and the lease lapsed later", -50 * time.Millisecond, true, false},
		{"neither", -500 * time.Millisecond, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newSoakChecker()
			c.jobSubmitted("j", 1, false)
			w := &soakWorker{checker: c, name: "i-0", changed: make(chan struct{})}
			w.beginIncarnation()
			w.leaseDeadline = holdMs
			c.taskStarted(soakRequest{Task: task, Run: 1}, "i-0", false)
			w.runs[task] = &soakRun{task: task, run: 1}
			w.endRun(task, "done")
			ageWorker(w, holdMs*time.Millisecond+tc.lapse)
			if tc.restarts {
				c.taskStarted(soakRequest{Task: task, Run: 2}, "i-1", false)
			}
			if tc.name == "the task started again and the lease lapsed later" {
				time.Sleep(100 * time.Millisecond)
			}
			w.extendLease(soakRequest{Deadline: 2 * holdMs})
			c.endAcknowledged(w.ended[0])
			violations := c.recordedViolations()
			is.Equal(len(violations) == 0, tc.allowed)
			if !tc.allowed {
				is.True(strings.Contains(violations[0], "started again before its result done was acknowledged"))
			}
		})
	}
}

// A lease that lapsed before the end, or was extended in time, excuses nothing.
func TestLapseBeforeTheEndIsNotNoted(t *testing.T) {
	is := is.New(t)
	c := newSoakChecker()
	c.jobSubmitted("j", 1, false)
	w := &soakWorker{checker: c, name: "i-0", changed: make(chan struct{})}
	w.beginIncarnation()
	ageWorker(w, time.Second)
	w.extendLease(soakRequest{Deadline: 2_000})
	w.runs["j.0.0.0"] = &soakRun{task: "j.0.0.0", run: 1}
	w.endRun("j.0.0.0", "done")
	w.extendLease(soakRequest{Deadline: 3_000})
	is.True(w.ended[0].lapsedAt.IsZero())
}

// ageWorker makes the worker's clock read the given time.
func ageWorker(w *soakWorker, age time.Duration) { w.born = time.Now().Add(-age) }
