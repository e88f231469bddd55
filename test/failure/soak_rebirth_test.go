package failure_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	soakMeanRebirthFaultInterval = 1500 * time.Millisecond
	// soakMinLifetime is the age from which an incarnation crashes on a request: no two are born in
	// the same millisecond.
	soakMinLifetime = 5 * time.Millisecond
	// soakMaxAfterPoll is how long after the response to a poll the worker crashes at most.
	soakMaxAfterPoll = 30 * time.Millisecond
)

// soakRebirthFaults are drawn beside the other faults, which keep their order for the fixed seeds.
var soakRebirthFaults = []soakFault{
	{"a worker crashes in series with requests in flight", func(c *soakCell, r *rand.Rand) { c.crashInSeries(r, 1) }},
	{"workers crash in series with requests in flight", func(c *soakCell, r *rand.Rand) { c.crashInSeries(r, soakWorkerCount/2) }},
}

// soakRebirths makes a worker crash in series. Each next incarnation begins at once under the same
// id and address, and gets the requests that are on their way to the former one. nil: it does not.
type soakRebirths struct {
	random    *rand.Rand // guarded by the worker's lock
	onReceipt float64    // fraction of the start and stop requests on whose receipt the worker crashes
	afterPoll float64    // fraction of the polls after whose response it crashes
}

// soakRebirthCounts counts crashes of soakRebirths.
type soakRebirthCounts struct {
	answered, unanswered, late, stops, afterPoll atomic.Int64
}

func (c *soakRebirthCounts) summary() string {
	return fmt.Sprintf("workers back at once: on %d starts that the next incarnation answered, %d that it got at once and did not answer, "+
		"%d that it got late, %d stops; after %d polls", c.answered.Load(), c.unanswered.Load(), c.late.Load(), c.stops.Load(), c.afterPoll.Load())
}

// crashInSeries makes some workers crash in series for some time.
func (c *soakCell) crashInSeries(r *rand.Rand, count int) {
	var chosen []*soakWorker
	for _, i := range r.Perm(len(c.workers))[:count] {
		w := c.workers[i]
		rebirths := &soakRebirths{random: rand.New(rand.NewSource(r.Int63())), onReceipt: r.Float64(), afterPoll: r.Float64() / 2}
		w.update(func() {
			if w.rebirths == nil {
				w.rebirths = rebirths
				chosen = append(chosen, w)
			}
		})
	}
	c.wait(randomDuration(r, soakMinFaultTime, soakMaxFaultTime))
	for _, w := range chosen {
		w.update(func() { w.rebirths = nil })
	}
}

// rebirth crashes the worker and begins its next incarnation at once, before the given start, if
// any, is executed. It returns false if that would be the second crash under a task, after which
// its job may be given up. The caller holds the lock.
func (w *soakWorker) rebirth(how soakCrash, starting ...string) bool {
	if w.down || time.Since(w.born) < soakMinLifetime {
		return false
	}
	tasks := append(w.unacknowledgedTasks(), starting...)
	for _, task := range tasks {
		if _, again := w.cell.crashedUnder.Load(task); again {
			return false
		}
	}
	for _, task := range tasks {
		w.cell.crashedUnder.Store(task, true)
	}
	w.crashLocked(how)
	return true
}

// unacknowledgedTasks returns the tasks that run on the worker, and those whose ends were not
// acknowledged. The caller holds the lock.
func (w *soakWorker) unacknowledgedTasks() []string {
	var tasks []string
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	for _, end := range w.ended {
		tasks = append(tasks, end.task)
	}
	return tasks
}

// crashOnReceipt crashes the worker, as its rebirths say, before it executes a request for the task.
// It reports whether it did. The caller holds the lock.
func (w *soakWorker) crashOnReceipt(task string) bool {
	r := w.rebirths
	return r != nil && r.random.Float64() < r.onReceipt && w.rebirth(soakCrash{keepsConnections: true}, task)
}

// crashOnStart crashes the worker, as its rebirths say, on the receipt of a start request, which
// the next incarnation executes: at once with a response, or at once or up to soakMaxStartDelay
// later without one. In the latter cases it does not return. The caller holds the lock.
func (w *soakWorker) crashOnStart(request soakRequest, r *http.Request) {
	rebirths, counts := w.rebirths, &w.cell.rebirthCounts
	if !w.crashOnReceipt(request.Task) {
		return
	}
	switch rebirths.random.Intn(3) {
	case 0:
		counts.answered.Add(1)
		return
	case 1:
		counts.unanswered.Add(1)
		w.startRun(request, true)
	default:
		counts.late.Add(1)
		w.startLater(request, time.Duration(rebirths.random.Int63n(int64(soakMaxStartDelay))))
	}
	if rebirths.random.Intn(2) == 0 { // no response, rather than the end of the connection
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-time.After(soakMaxStartDelay):
		}
		w.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// crashAfterPoll crashes the worker, as its rebirths say, after the response to a poll. The
// caller holds the lock.
func (w *soakWorker) crashAfterPoll() {
	rebirths, born := w.rebirths, w.born
	if rebirths == nil || rebirths.random.Float64() >= rebirths.afterPoll {
		return
	}
	how := soakCrash{keepsConnections: rebirths.random.Intn(2) == 0}
	time.AfterFunc(time.Duration(rebirths.random.Int63n(int64(soakMaxAfterPoll))), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born.Equal(born) && w.rebirth(how) {
			w.cell.rebirthCounts.afterPoll.Add(1)
		}
	})
}
