package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

var errSilent = errors.New("no answer")

// fakeWorker carries orders out as the platform's page says: it keeps the
// highest token, refuses runs that were stopped, and forgets acknowledged ends.
type fakeWorker struct {
	record *apiv1.PoolWorker

	mu       sync.Mutex
	begun    time.Time
	token    uint64
	deadline int64
	runs     map[runKey]StartRequest
	stopped  map[string]int64 // highest run stopped or ended, by task
	ended    []EndedRun
	number   int64
	cursor   int64

	gone       bool           // nothing listens
	silent     bool           // nothing is answered or carried out
	loseStarts int            // starts that get no answer; see late
	late       []StartRequest // of the lost starts, to be carried out by deliverLate
	drop       bool           // lost starts are never carried out
	starts     []StartRequest // all that began a run
	wake       chan struct{}  // an end was added
}

func newFakeWorker(id string, cpu int64) *fakeWorker {
	return &fakeWorker{
		record: &apiv1.PoolWorker{
			Id: id, BornUnixMs: 1, Service: testService, Address: id, CpuMillis: cpu, MemoryMb: 1 << 20,
			Labels: []string{"a", "rack-1"},
		},
		begun: time.Now(), runs: make(map[runKey]StartRequest), stopped: make(map[string]int64),
		wake: make(chan struct{}, 1),
	}
}

func (w *fakeWorker) clock() int64 { return time.Since(w.begun).Milliseconds() + 1 }

// expire ends what runs past its lease. The caller holds the lock.
func (w *fakeWorker) expire() {
	if w.clock() <= w.deadline {
		return
	}
	for key := range w.runs {
		w.endLocked(key, apiv1.RunOutcome_RUN_OUTCOME_LAPSED)
	}
}

func (w *fakeWorker) reachable() error {
	switch {
	case w.gone:
		return ErrNoListener
	case w.silent:
		return errSilent
	}
	return nil
}

func (w *fakeWorker) start(order StartRequest) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return Response{}, err
	}
	if w.loseStarts > 0 {
		w.loseStarts--
		if !w.drop {
			w.late = append(w.late, order)
		}
		return Response{}, errSilent
	}
	return w.startLocked(order), nil
}

func (w *fakeWorker) startLocked(order StartRequest) Response {
	w.expire()
	reply := Response{ClockMs: w.clock()}
	key := runKey{order.Task, order.Run}
	switch {
	case order.Token < w.token:
		reply.Refusal = RefusedStaleToken
	case w.stopped[order.Task] >= order.Run:
		reply.Refusal = RefusedSuperseded
	case order.Deadline < w.clock():
		reply.Refusal = RefusedDeadlinePassed
	default:
		w.token = order.Token
		w.deadline = max(w.deadline, order.Deadline)
		if _, running := w.runs[key]; !running {
			w.runs[key] = order
			w.starts = append(w.starts, order)
		}
	}
	return reply
}

// deliverLate carries out the starts that got no answer.
func (w *fakeWorker) deliverLate() []Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	var replies []Response
	for _, order := range w.late {
		replies = append(replies, w.startLocked(order))
	}
	w.late = nil
	return replies
}

func (w *fakeWorker) stop(order StopRequest) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return Response{}, err
	}
	if order.Token < w.token {
		return Response{ClockMs: w.clock(), Refusal: RefusedStaleToken}, nil
	}
	w.token = order.Token
	w.stopped[order.Task] = max(w.stopped[order.Task], order.Run)
	if _, running := w.runs[runKey{order.Task, order.Run}]; running {
		w.endLocked(runKey{order.Task, order.Run}, apiv1.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	return Response{ClockMs: w.clock()}, nil
}

func (w *fakeWorker) hold(ctx context.Context, order HoldRequest) (HoldResponse, error) {
	w.mu.Lock()
	if err := w.reachable(); err != nil {
		w.mu.Unlock()
		return HoldResponse{}, err
	}
	if order.Token < w.token {
		w.mu.Unlock()
		return HoldResponse{Fenced: true}, nil
	}
	w.expire()
	w.token = order.Token
	w.deadline = max(w.deadline, order.Deadline)
	w.cursor = max(w.cursor, order.Cursor)
	for len(w.ended) > 0 && w.ended[0].Sequence <= w.cursor {
		w.ended = w.ended[1:]
	}
	wait := order.WaitMs > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-ctx.Done():
			return HoldResponse{}, ctx.Err()
		case <-w.wake:
		case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.reachable(); err != nil {
		return HoldResponse{}, err
	}
	w.expire()
	report := HoldResponse{ClockMs: w.clock(), BornUnixMs: w.record.GetBornUnixMs(), Ended: append([]EndedRun(nil), w.ended...)}
	for key := range w.runs {
		report.Active = append(report.Active, ActiveRun{Task: key.name, Run: key.number, Percent: 100})
	}
	return report, nil
}

func (w *fakeWorker) endLocked(key runKey, outcome apiv1.RunOutcome) {
	delete(w.runs, key)
	w.number++
	w.stopped[key.name] = max(w.stopped[key.name], key.number)
	w.ended = append(w.ended, EndedRun{Sequence: w.number, Task: key.name, Run: key.number, Outcome: outcome})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// finish ends all that runs with the outcome and returns how many that were.
func (w *fakeWorker) finish(outcome apiv1.RunOutcome) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := len(w.runs)
	for key := range w.runs {
		w.endLocked(key, outcome)
	}
	return count
}

// finishOne ends one of the runs as done.
func (w *fakeWorker) finishOne() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.runs {
		w.endLocked(key, done)
		return
	}
}

func (w *fakeWorker) running() []runKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	var keys []runKey
	for key := range w.runs {
		keys = append(keys, key)
	}
	return keys
}

func (w *fakeWorker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// began returns how many runs have begun here.
func (w *fakeWorker) began() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}
