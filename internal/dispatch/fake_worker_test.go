package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

var errNoResponse = errors.New("no response")

// savedAtStop is the checkpoint that runs save when they are stopped.
const savedAtStop = "saved at a stop"

// fakeWorker implements the platform's worker protocol: it keeps the highest
// fencing token, refuses to start runs that were stopped, and forgets acknowledged
// ends.
type fakeWorker struct {
	record *apiv1.PoolWorker

	mu           sync.Mutex
	createdAt    time.Time
	token        uint64        // highest fencing token seen
	deadline     int64         // end of the lease, on the worker's clock
	maxLease     time.Duration // longer leases are shortened to it; 0: they are not
	runs         map[runKey]StartRequest
	highestEnded map[string]int64 // highest run stopped or ended, by task
	ended        []EndedRun
	lastSequence int64 // sequence of the last end
	ackCursor    int64
	polled       bool // the next poll comes over the connection of the last answered one

	startTime    time.Duration  // how long a start request takes
	answerTime   time.Duration  // from a start until its response arrives
	stopsBlocked chan struct{}  // stop requests get no response until it is closed; nil: they do
	endsPerPage  int            // ends that a response lists at most; 0: all
	noListener   bool           // calls fail with ErrNoListener
	startsUnsent int            // number of start requests for which there is no connection
	panics       bool           // the client panics in calls to this worker
	silent       bool           // requests are neither executed nor answered
	startsToLose int            // number of start requests that will get no response
	lostStarts   []StartRequest // those requests, until deliverLostStarts executes them
	holdsToLose  int            // number of long polls that will get no response
	discardLost  bool           // lost start requests are not kept in lostStarts
	lostError    error          // of lost start requests; nil: errNoResponse
	onLost       func()         // called under the lock when a start request is lost
	onReceipt    func()         // called once, under the lock, when a start request is received
	losesAnswer  bool           // start requests are executed and get no response, and then the worker is silent
	starts       []StartRequest // requests that started a run
	onStart      func()         // if set, called under the lock after each start of a run
	onEnd        func(EndedRun) // if set, called under the lock after each end of a run
	onAck        func(EndedRun) // if set, called under the lock for each end that is acknowledged
	stopsHeld    bool           // runs go on after a stop request, until they are finished
	holds        int            // hold requests answered
	endAdded     chan struct{}  // signals a new end
	deadly       string         // a start of a task whose name begins so crashes the worker; "": none
	deadlyAfter  time.Duration  // how long after its start; 0: before the start is confirmed
	crashes      int
}

// newFakeWorker returns a worker with cpu thousandths of a core.
func newFakeWorker(id string, cpu int64) *fakeWorker {
	return &fakeWorker{
		record: &apiv1.PoolWorker{
			Id: id, BornUnixMs: 1, Service: testService, Address: id, CpuMillis: cpu, MemoryMb: 1 << 20,
			Labels: []string{"a", "rack-1"},
		},
		createdAt: time.Now(), runs: make(map[runKey]StartRequest), highestEnded: make(map[string]int64),
		endAdded: make(chan struct{}, 1),
	}
}

// nowMs returns the worker's clock in ms.
func (w *fakeWorker) nowMs() int64 { return time.Since(w.createdAt).Milliseconds() + 1 }

// endExpiredRuns ends all runs if the lease has expired. The caller holds the lock.
func (w *fakeWorker) endExpiredRuns() {
	if w.nowMs() <= w.deadline {
		return
	}
	for key := range w.runs {
		w.endLocked(key, apiv1.RunOutcome_RUN_OUTCOME_LAPSED)
	}
}

// extendLease extends the lease to the deadline. The caller holds the lock.
func (w *fakeWorker) extendLease(deadline int64) {
	if w.maxLease > 0 {
		deadline = min(deadline, w.nowMs()+w.maxLease.Milliseconds())
	}
	w.deadline = max(w.deadline, deadline)
}

// callError returns the error with which calls to the worker fail, or nil.
func (w *fakeWorker) callError() error {
	switch {
	case w.noListener:
		return ErrNoListener
	case w.silent:
		return errNoResponse
	}
	return nil
}

// panicIfBroken panics in place of a faulty client.
func (w *fakeWorker) panicIfBroken() {
	w.mu.Lock()
	broken := w.panics
	w.mu.Unlock()
	if broken {
		panic("a fault of the client")
	}
}

func (w *fakeWorker) start(req StartRequest) (Response, error) {
	w.panicIfBroken()
	time.Sleep(w.startTime)
	resp, err := w.carryOutStart(req)
	time.Sleep(w.answerTime)
	return resp, err
}

func (w *fakeWorker) carryOutStart(req StartRequest) (Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.callError(); err != nil {
		return Response{}, err
	}
	if w.startsUnsent > 0 {
		w.startsUnsent--
		return Response{}, ErrNotSent
	}
	if received := w.onReceipt; received != nil {
		w.onReceipt = nil
		received()
	}
	if w.startsToLose > 0 {
		w.startsToLose--
		if w.onLost != nil {
			w.onLost()
		}
		if !w.discardLost {
			w.lostStarts = append(w.lostStarts, req)
		}
		if w.lostError != nil {
			return Response{}, w.lostError
		}
		return Response{}, errNoResponse
	}
	resp := w.startLocked(req)
	switch {
	case w.losesAnswer:
		w.silent = true
	case !w.noListener:
		return resp, nil
	}
	return Response{}, errNoResponse // it has crashed or lost the answer
}

func (w *fakeWorker) startLocked(req StartRequest) Response {
	w.endExpiredRuns()
	resp := Response{ClockMs: w.nowMs()}
	key := runKey{req.Task, req.Run}
	switch {
	case req.Token < w.token:
		resp.Refusal = RefusedStaleToken
	case w.highestEnded[req.Task] >= req.Run:
		resp.Refusal = RefusedSuperseded
	case req.Deadline < w.nowMs():
		resp.Refusal = RefusedDeadlinePassed
	default:
		w.token = req.Token
		w.extendLease(req.Deadline)
		if _, running := w.runs[key]; !running {
			w.runs[key] = req
			w.starts = append(w.starts, req)
			if w.deadly != "" && strings.HasPrefix(req.Task, w.deadly) {
				w.crashByTask()
			}
			if w.onStart != nil {
				w.onStart()
			}
		}
	}
	return resp
}

// deliverLostStarts executes the start requests that got no response.
func (w *fakeWorker) deliverLostStarts() []Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	var responses []Response
	for _, req := range w.lostStarts {
		responses = append(responses, w.startLocked(req))
	}
	w.lostStarts = nil
	return responses
}

func (w *fakeWorker) stop(req StopRequest) (Response, error) {
	w.panicIfBroken()
	w.mu.Lock()
	blocked := w.stopsBlocked
	w.mu.Unlock()
	if blocked != nil {
		<-blocked
		return Response{}, errNoResponse
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.callError(); err != nil {
		return Response{}, err
	}
	if req.Token < w.token {
		return Response{ClockMs: w.nowMs(), Refusal: RefusedStaleToken}, nil
	}
	w.token = req.Token
	w.highestEnded[req.Task] = max(w.highestEnded[req.Task], req.Run)
	if _, running := w.runs[runKey{req.Task, req.Run}]; running && !w.stopsHeld {
		w.endLocked(runKey{req.Task, req.Run}, apiv1.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	return Response{ClockMs: w.nowMs()}, nil
}

func (w *fakeWorker) hold(ctx context.Context, req HoldRequest) (HoldResponse, error) {
	w.panicIfBroken()
	w.mu.Lock()
	if err := w.callError(); err != nil {
		w.polled = false
		w.mu.Unlock()
		return HoldResponse{}, err
	}
	if req.Token < w.token {
		w.mu.Unlock()
		return HoldResponse{Fenced: true}, nil
	}
	w.endExpiredRuns()
	unacknowledged := req.Cursor > 0 && !w.polled
	if unacknowledged {
		req = HoldRequest{Token: req.Token}
	}
	w.token = req.Token
	w.extendLease(req.Deadline)
	w.ackCursor = max(w.ackCursor, req.Cursor)
	for len(w.ended) > 0 && w.ended[0].Sequence <= w.ackCursor {
		if w.onAck != nil {
			w.onAck(w.ended[0])
		}
		w.ended = w.ended[1:]
	}
	wait, born := req.WaitMs > 0 && len(w.ended) == 0, w.record.GetBornUnixMs()
	w.mu.Unlock()
	if wait {
		select {
		case <-ctx.Done():
			return HoldResponse{}, ctx.Err()
		case <-w.endAdded:
		case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
		}
	}
	if wait && w.loseHold() {
		<-ctx.Done()
		return HoldResponse{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.callError(); err != nil {
		w.polled = false
		return HoldResponse{}, err
	}
	if w.record.GetBornUnixMs() != born {
		return HoldResponse{}, ErrConnectionLost
	}
	w.endExpiredRuns()
	w.holds++
	w.polled = true
	resp := HoldResponse{ClockMs: w.nowMs(), BornUnixMs: w.record.GetBornUnixMs(), Ended: slices.Clone(w.ended), Unacknowledged: unacknowledged}
	if w.endsPerPage > 0 && len(resp.Ended) >= w.endsPerPage {
		resp.Ended, resp.Partial = resp.Ended[:w.endsPerPage], true
	}
	for key := range w.runs {
		resp.Active = append(resp.Active, ActiveRun{Task: key.name, Run: key.number, Percent: 100})
	}
	return resp, nil
}

// loseHold reports whether a long poll gets no response.
func (w *fakeWorker) loseHold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holdsToLose == 0 {
		return false
	}
	w.holdsToLose--
	w.polled = false
	return true
}

// endLocked ends a run and wakes a waiting hold call. The caller holds the lock.
func (w *fakeWorker) endLocked(key runKey, outcome apiv1.RunOutcome) {
	delete(w.runs, key)
	w.lastSequence++
	w.highestEnded[key.name] = max(w.highestEnded[key.name], key.number)
	end := EndedRun{Sequence: w.lastSequence, Task: key.name, Run: key.number, Outcome: outcome}
	if outcome == apiv1.RunOutcome_RUN_OUTCOME_STOPPED {
		end.Checkpoint = savedAtStop
	}
	w.ended = append(w.ended, end)
	if w.onEnd != nil {
		w.onEnd(end)
	}
	select {
	case w.endAdded <- struct{}{}:
	default:
	}
}

// finishAll ends all runs with the outcome and returns their number.
func (w *fakeWorker) finishAll(outcome apiv1.RunOutcome) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := len(w.runs)
	for key := range w.runs {
		w.endLocked(key, outcome)
	}
	return count
}

// finishOne ends one of the runs, if any, as done.
func (w *fakeWorker) finishOne() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.runs {
		w.endLocked(key, done)
		return
	}
}

// running returns the active runs.
func (w *fakeWorker) running() []runKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredRuns()
	var keys []runKey
	for key := range w.runs {
		keys = append(keys, key)
	}
	return keys
}

// withLock changes fields of the worker under its lock.
func (w *fakeWorker) withLock(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// holdCount returns how many hold requests were answered.
func (w *fakeWorker) holdCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds
}

// startCount returns how many runs were started on the worker.
func (w *fakeWorker) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

// crashByTask ends the incarnation deadlyAfter a task's start. The caller holds the lock.
func (w *fakeWorker) crashByTask() {
	if w.deadlyAfter == 0 {
		w.crashLocked()
		return
	}
	born := w.record.GetBornUnixMs()
	time.AfterFunc(w.deadlyAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.record.GetBornUnixMs() == born && !w.noListener {
			w.crashLocked()
		}
	})
}

// crashLocked ends the incarnation: nothing listens until restart. The caller holds the lock.
func (w *fakeWorker) crashLocked() {
	w.crashes++
	w.noListener, w.polled = true, false
	w.runs, w.highestEnded, w.ended = make(map[runKey]StartRequest), make(map[string]int64), nil
	w.token, w.deadline, w.lastSequence, w.ackCursor = 0, 0, 0, 0
	select {
	case w.endAdded <- struct{}{}:
	default:
	}
}

// crash ends the incarnation for a cause of its own.
func (w *fakeWorker) crash() { w.withLock(w.crashLocked) }

// restart begins the next incarnation of a crashed worker and returns its record, or nil if
// the worker has not crashed.
func (w *fakeWorker) restart() *apiv1.PoolWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.noListener {
		return nil
	}
	return w.restartLocked()
}

// restartLocked is restart for a worker that has crashed. The caller holds the lock.
func (w *fakeWorker) restartLocked() *apiv1.PoolWorker {
	record := proto.CloneOf(w.record)
	record.BornUnixMs++
	w.record, w.noListener, w.createdAt = record, false, time.Now()
	return record
}

// rebornLocked ends the incarnation and begins the next one at once. The clock of that one shows
// what the former one's would: it may have been read last long before. The caller holds the lock.
func (w *fakeWorker) rebornLocked() {
	createdAt := w.createdAt
	w.crashLocked()
	w.restartLocked()
	w.createdAt = createdAt
}

// currentRecord returns the record of the current incarnation.
func (w *fakeWorker) currentRecord() *apiv1.PoolWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record
}
