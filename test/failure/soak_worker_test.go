package failure_test

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

const (
	soakService           = "planning"
	soakWorkerCPUMillis   = 4000
	soakHeartbeatInterval = 300 * time.Millisecond
	soakMaxHold           = 4 * time.Second // longest lease that a request can grant
	// soakMaxStartDelay bounds the delay of a start request that got no response.
	soakMaxStartDelay = 3 * time.Second
	soakStopTimeout   = 200 * time.Millisecond
)

// soakWorker is a worker as on the users' platform: it starts what it is told to,
// rejects lower fencing tokens than the highest seen, and forgets ended runs once
// they are acknowledged. It is reached through a relay.
type soakWorker struct {
	t       testing.TB
	cell    *soakCell
	checker *soakChecker
	name    string // stays the same in all incarnations
	link    *relay.Relay
	server  *http.Server

	mu                sync.Mutex
	random            *rand.Rand
	id                string    // of this incarnation
	incarnations      int       // that began with another id
	down              bool      // crashed, and the next incarnation has not begun
	born              time.Time // start of this incarnation
	highestToken      uint64    // highest fencing token seen in this incarnation
	leaseDeadline     int64     // in clockMs
	runs              map[string]*soakRun
	highestRun        map[string]int64 // highest run that ended or was stopped, by task
	ended             []soakEndedRun
	lastSequence      int64 // of the last ended run
	capacity          soakCapacity
	reportsTo         *soakProcess // that gets its heartbeats; nil: any control process
	lastHeartbeat     int64        // sequence of the last heartbeat
	drainAckedAt      time.Time    // when a control process acknowledged the drain; zero: not yet
	drainRequested    bool
	rebirths          *soakRebirths
	lateStartRate     float64 // fraction of the start requests that get no response and are processed late
	failsAllRuns      bool    // every new run fails
	crashesOnStart    bool    // the next start request crashes the worker, if none of its task has crashed one
	lateHeartbeatRate float64 // fraction of the heartbeats that arrive up to soakMaxHeartbeatDelay late
	changed           chan struct{}
}

func startSoakWorker(cell *soakCell, name string, seed int64) *soakWorker {
	cell.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cell.t.Fatal(err)
	}
	link, err := relay.Start(context.Background(), listener.Addr().String())
	if err != nil {
		cell.t.Fatal(err)
	}
	w := &soakWorker{
		t: cell.t, cell: cell, checker: cell.checker, name: name, id: name, link: link, random: rand.New(rand.NewSource(seed)),
		changed: make(chan struct{}),
	}
	w.beginIncarnation()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	w.server = &http.Server{Handler: mux, ConnContext: withSoakConnection}
	go func() { _ = w.server.Serve(listener) }()
	cell.t.Cleanup(func() {
		link.Close()
		_ = w.server.Close()
	})
	return w
}

// beginIncarnation resets all state, as a new incarnation has none of the previous
// one's.
func (w *soakWorker) beginIncarnation() {
	w.born = time.Now()
	w.highestToken, w.leaseDeadline, w.lastSequence, w.ended = 0, 0, 0, nil
	w.runs, w.highestRun = make(map[string]*soakRun), make(map[string]int64)
	w.drainRequested, w.drainAckedAt = false, time.Time{}
	w.lastHeartbeat, w.capacity = 0, soakCapacity{cpuMillis: soakWorkerCPUMillis}
}

// clockMs returns the milliseconds since the start of the incarnation.
func (w *soakWorker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

// update calls change with the lock held.
func (w *soakWorker) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// endFinishedRuns ends the runs that have finished and, if the lease has expired, all
// of them. The caller holds the lock.
func (w *soakWorker) endFinishedRuns() {
	now := time.Now()
	for task, r := range w.runs {
		if w.clockMs() > w.leaseDeadline {
			w.endRun(task, "lapsed")
		} else if result := r.outcome(now); result != "" {
			w.endRun(task, result)
		}
	}
}

// endStoppedRun ends a run that takes its time to stop, if it hasn't ended otherwise.
func (w *soakWorker) endStoppedRun(r *soakRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] == r {
		w.endRun(r.task, "stopped")
	}
}

// endRun ends a run and queues its result for the next hold response. The caller
// holds the lock.
func (w *soakWorker) endRun(task, result string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highestRun[task] = max(w.highestRun[task], r.run)
	w.checker.taskEnded(task, w.name, result)
	r.memberEnded(result)
	w.lastSequence++
	w.ended = append(w.ended, soakEndedRun{sequence: w.lastSequence, task: task, run: r.run, result: result})
	close(w.changed)
	w.changed = make(chan struct{})
}

// serveStart starts a run. With the probability lateStartRate it closes the connection
// without a response and starts the run up to soakMaxStartDelay later.
func (w *soakWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	request, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.crashesOnStart {
		if _, again := w.cell.crashedOnStart.LoadOrStore(request.Task, true); !again {
			w.crashesOnStart = false
			w.crashLocked(soakCrash{})
			panic(http.ErrAbortHandler)
		}
	}
	w.crashOnStart(request, r)
	if w.random.Float64() < w.lateStartRate {
		w.startLater(request, time.Duration(w.random.Int63n(int64(soakMaxStartDelay))))
		panic(http.ErrAbortHandler)
	}
	if reason := w.startRun(request, false); reason != "" {
		writeSoakResponse(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason, "born": w.born.UnixMilli()})
		return
	}
	if w.down { // crashed by the run
		panic(http.ErrAbortHandler)
	}
	writeSoakResponse(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.born.UnixMilli()})
}

// startLater starts a run after the delay, unless the incarnation has ended by then. The caller
// holds the lock.
func (w *soakWorker) startLater(request soakRequest, delay time.Duration) {
	born := w.born
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born.Equal(born) && !w.down {
			w.endFinishedRuns()
			w.startRun(request, true)
		}
	})
}

// startRun starts a run and checks that it may start. It returns the reason of a
// refusal, or "". The caller holds the lock.
func (w *soakWorker) startRun(request soakRequest, late bool) (refusal string) {
	switch {
	case request.Token < w.highestToken:
		return "fence"
	case request.Run <= w.highestRun[request.Task]:
		w.extendLease(request)
		return "old"
	case request.Deadline < w.clockMs():
		return "late"
	}
	w.extendLease(request)
	if current := w.runs[request.Task]; current != nil && current.run == request.Run {
		return ""
	}
	if w.drainRequested && !w.drainAckedAt.IsZero() && time.Since(w.drainAckedAt) > soakDrainBound && !late {
		w.checker.recordViolation("%s started on %s %v after its drain was acknowledged", request.Task, w.id, time.Since(w.drainAckedAt))
	}
	w.checkCapacity(request)
	w.checker.taskStarted(request, w.name, late)
	duration := max(randomDuration(w.random, 50*time.Millisecond, 650*time.Millisecond), w.checker.minDuration(request.Task))
	newRun := &soakRun{
		task: request.Task, run: request.Run, began: time.Now(), ends: time.Now().Add(duration),
		failsAtEnd: w.failsAllRuns || w.random.Float64() < 0.03,
	}
	if gangSize := w.checker.gangSize(request.Task); gangSize > 0 {
		newRun.gang = w.cell.gangs.join(request.Task, request.Run, gangSize, duration)
	}
	w.runs[request.Task] = newRun
	if delay, deadly := w.checker.crashDelay(request.Task); deadly && delay == 0 {
		w.crashLocked(randomCrash(w.random))
	} else if deadly {
		w.crashWith(newRun, delay)
	}
	return ""
}

// extendLease takes over the fencing token and the lease deadline, which is at most
// soakMaxHold from now. The caller holds the lock.
func (w *soakWorker) extendLease(request soakRequest) {
	w.noticeLapse()
	w.highestToken = max(w.highestToken, request.Token)
	w.leaseDeadline = max(w.leaseDeadline, min(request.Deadline, w.clockMs()+soakMaxHold.Milliseconds()))
}

// serveStop stops a run and rejects later starts of it or of earlier runs of the task.
func (w *soakWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	request, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.crashOnReceipt(request.Task) {
		w.cell.rebirthCounts.stops.Add(1)
	}
	if request.Token >= w.highestToken {
		w.highestToken = request.Token
		if current := w.runs[request.Task]; current != nil && current.run <= request.Run && !current.stopping {
			current.stopping = true
			time.AfterFunc(randomDuration(w.random, 0, soakStopTimeout), func() { w.endStoppedRun(current) })
		}
		w.highestRun[request.Task] = max(w.highestRun[request.Task], request.Run)
	}
	writeSoakResponse(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.born.UnixMilli()})
}

// serveHold extends the lease, forgets the acknowledged results and responds with the
// active and the ended runs. Without ended runs it waits for one, up to wait_ms.
func (w *soakWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	request, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	connection := r.Context().Value(soakConnectionKey{}).(*soakConnection)
	if connection.endedWith(w.born) {
		panic(http.ErrAbortHandler)
	}
	if request.Token < w.highestToken {
		writeSoakResponse(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.extendLease(request)
	for len(w.ended) > 0 && w.ended[0].sequence <= request.Cursor {
		w.checker.endAcknowledged(w.ended[0])
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	born := w.born
	for len(w.ended) == 0 && time.Now().Before(until) && w.born.Equal(born) && !w.down {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
		w.endFinishedRuns()
	}
	if w.down || !w.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	active, ended := [][]any{}, [][]any{}
	for _, one := range w.runs {
		active = append(active, []any{one.task, one.run, "", 100, 0})
	}
	for _, one := range w.ended {
		w.checker.endReported(one.task, one.run, one.result)
		ended = append(ended, []any{one.sequence, one.task, one.run, one.result, ""})
	}
	connection.polled = w.born
	writeSoakResponse(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clockMs(), "born": w.born.UnixMilli(), "active": active, "ended": ended,
	})
	w.crashAfterPoll()
}
