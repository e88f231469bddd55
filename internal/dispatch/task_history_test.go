package dispatch

import (
	"fmt"
	"sync"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// taskHistory records starts that break the promise that a task runs once: while another run of it is
// active, or after a run has ended as done and its end was acknowledged, then or later. An end
// whose worker's lease has expired before the acknowledgement does not count.
type taskHistory struct {
	mu         sync.Mutex
	active     map[string]map[*fakeWorker]int64 // number of the run, by task and worker
	lastStart  map[string]taskStart             // by task
	done       map[string]string                // by task: the acknowledged end
	doneAt     map[*fakeWorker]map[int64]time.Time
	expired    map[*fakeWorker]time.Time // when the lease was last seen to have expired
	violations []string
}

type taskStart struct {
	at     time.Time
	worker string
	number int64
}

// watchTasks records the starts on the workers from now on.
func watchTasks(workers ...*fakeWorker) *taskHistory {
	h := &taskHistory{
		active: make(map[string]map[*fakeWorker]int64), lastStart: make(map[string]taskStart), done: make(map[string]string),
		doneAt: make(map[*fakeWorker]map[int64]time.Time), expired: make(map[*fakeWorker]time.Time),
	}
	for _, w := range workers {
		h.doneAt[w] = make(map[int64]time.Time)
		w.withLock(func() {
			w.onStart = func() { h.recordStart(w, w.starts[len(w.starts)-1]) }
			w.onEnd = func(end EndedRun) { h.recordEnd(w, end) }
			w.onAck = func(end EndedRun) { h.recordAck(w, end) }
		})
	}
	return h
}

func (h *taskHistory) recordStart(w *fakeWorker, req StartRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, number := range h.active[req.Task] {
		h.violations = append(h.violations, fmt.Sprintf("%s started on %s (run %d, term %d) while run %d is active on %s",
			req.Task, w.record.GetId(), req.Run, req.Token, number, other.record.GetId()))
	}
	if end := h.done[req.Task]; end != "" {
		h.violations = append(h.violations, fmt.Sprintf("%s started on %s (run %d, term %d) after it was done: %s",
			req.Task, w.record.GetId(), req.Run, req.Token, end))
	}
	if h.active[req.Task] == nil {
		h.active[req.Task] = make(map[*fakeWorker]int64)
	}
	h.active[req.Task][w] = req.Run
	h.lastStart[req.Task] = taskStart{at: time.Now(), worker: w.record.GetId(), number: req.Run}
}

func (h *taskHistory) recordEnd(w *fakeWorker, end EndedRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active[end.Task][w] == end.Run {
		delete(h.active[end.Task], w)
	}
	if end.Outcome == apiv1.RunOutcome_RUN_OUTCOME_DONE {
		h.doneAt[w][end.Sequence] = time.Now()
	}
}

func (h *taskHistory) recordAck(w *fakeWorker, end EndedRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, isDone := h.doneAt[w][end.Sequence]
	if !isDone || h.expired[w].After(at) {
		return
	}
	text := fmt.Sprintf("run %d on %s", end.Run, w.record.GetId())
	h.done[end.Task] = text
	if start := h.lastStart[end.Task]; start.at.After(at) {
		h.violations = append(h.violations, fmt.Sprintf("%s was started on %s (run %d) after it was done: %s, acknowledged later",
			end.Task, start.worker, start.number, text))
	}
}

// expireLeases ends the runs of workers whose leases have expired. Called often, it makes the history exact.
func (h *taskHistory) expireLeases(workers []*fakeWorker) {
	for _, w := range workers {
		w.withLock(func() {
			w.endExpiredRuns()
			if w.nowMs() > w.deadline {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.expired[w] = time.Now()
			}
		})
	}
}

// found returns the violations so far.
func (h *taskHistory) found() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.violations...)
}
