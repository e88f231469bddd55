package failure_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	soakMaxHold           = 4 * time.Second
	// soakMaxStartDelay is how long a start that got no answer may take to arrive.
	soakMaxStartDelay = 3 * time.Second
)

// soakWorker is a worker of the users' platform: it starts whatever it is told,
// keeps the highest token, and forgets the ends that were acknowledged. It is
// reached through a relay.
type soakWorker struct {
	t       testing.TB
	cell    *soakCell
	checker *soakChecker
	id      string
	link    *relay.Relay
	server  *http.Server

	mu             sync.Mutex
	random         *rand.Rand
	born           time.Time
	token          uint64
	leaseDeadline  int64
	runs           map[string]*soakRun
	highestRun     map[string]int64 // run ended or stopped, by task
	ended          []soakEndedRun
	lastSequence   int64
	drainAckedAt   time.Time // when the report that says so was acknowledged
	drainRequested bool
	lateStartRate  float64 // of the starts that get no answer and are carried out late
	failsAllRuns   bool    // every run fails
	gone           bool
	changed        chan struct{}
}

type soakRun struct {
	task       string
	run        int64
	began      time.Time
	ends       time.Time
	failsAtEnd bool
	gang       *soakGang // nil: a single task
}

// outcome returns how the run ends by now; "": it goes on.
func (r *soakRun) outcome(now time.Time) string {
	switch {
	case r.failsAtEnd && now.After(r.ends):
		return "failed"
	case r.gang != nil:
		return r.gang.outcome(now, r.began)
	case now.After(r.ends):
		return "done"
	}
	return ""
}

func (r *soakRun) notifyGang(how string) {
	if r.gang != nil {
		r.gang.memberEnded(how)
	}
}

type soakEndedRun struct {
	sequence int64
	task     string
	run      int64
	result   string
}

func startSoakWorker(cell *soakCell, id string, seed int64) *soakWorker {
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
		t: cell.t, cell: cell, checker: cell.checker, id: id, link: link, random: rand.New(rand.NewSource(seed)),
		changed: make(chan struct{}),
	}
	w.beginIncarnation()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serveStart)
	mux.HandleFunc("POST /api/run-stop", w.serveStop)
	mux.HandleFunc("POST /api/hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	cell.t.Cleanup(func() {
		link.Close()
		_ = w.server.Close()
	})
	return w
}

// beginIncarnation starts a new life, which knows nothing of the one before.
func (w *soakWorker) beginIncarnation() {
	w.born = time.Now()
	w.token, w.leaseDeadline, w.lastSequence, w.ended = 0, 0, 0, nil
	w.runs, w.highestRun = make(map[string]*soakRun), make(map[string]int64)
	w.drainRequested, w.drainAckedAt = false, time.Time{}
}

// crash ends the life with all that runs, and begins the next one.
func (w *soakWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		w.checker.taskEnded(task, w.id, "")
		r.notifyGang("")
	}
	w.beginIncarnation()
	w.link.CloseConnections()
}

func (w *soakWorker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

func (w *soakWorker) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// endFinishedRuns ends the runs that are over by now. The caller holds the lock.
func (w *soakWorker) endFinishedRuns() {
	now := time.Now()
	for task, r := range w.runs {
		if w.clockMs() > w.leaseDeadline {
			w.endRun(task, "lapsed")
		} else if how := r.outcome(now); how != "" {
			w.endRun(task, how)
		}
	}
}

func (w *soakWorker) endRun(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highestRun[task] = max(w.highestRun[task], r.run)
	w.checker.taskEnded(task, w.id, how)
	r.notifyGang(how)
	w.lastSequence++
	w.ended = append(w.ended, soakEndedRun{w.lastSequence, task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type soakRequest struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	WaitMs   int64  `json:"wait_ms"`
}

// decodeRequest reads an order that is meant for the present life, with the lock held
// when it returns true.
func (w *soakWorker) decodeRequest(rw http.ResponseWriter, r *http.Request) (soakRequest, bool) {
	var order soakRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return order, false
	}
	if r.Header.Get("X-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return order, false
	}
	w.mu.Lock()
	w.endFinishedRuns()
	return order, true
}

func (w *soakWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.random.Float64() < w.lateStartRate {
		born := w.born
		time.AfterFunc(time.Duration(w.random.Int63n(int64(soakMaxStartDelay))), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born.Equal(born) {
				w.endFinishedRuns()
				w.startRun(order, true)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if reason := w.startRun(order, false); reason != "" {
		writeSoakResponse(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason, "born": w.born.UnixMilli()})
		return
	}
	writeSoakResponse(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.born.UnixMilli()})
}

func (w *soakWorker) startRun(order soakRequest, late bool) (refusal string) {
	switch {
	case order.Token < w.token:
		return "fence"
	case order.Run <= w.highestRun[order.Task]:
		w.extendLease(order)
		return "old"
	case order.Deadline < w.clockMs():
		return "late"
	}
	w.extendLease(order)
	if present := w.runs[order.Task]; present != nil && present.run == order.Run {
		return ""
	}
	if w.drainRequested && !w.drainAckedAt.IsZero() && time.Since(w.drainAckedAt) > soakDrainBound && !late {
		w.checker.recordViolation("%s started on %s %v after its leave was acknowledged", order.Task, w.id, time.Since(w.drainAckedAt))
	}
	if (len(w.runs)+1)*soakTaskCPUMillis > soakWorkerCPUMillis {
		w.checker.recordViolation("%s started on %s, which is full", order.Task, w.id)
	}
	w.checker.taskStarted(order.Task, w.id, late)
	length := 50*time.Millisecond + time.Duration(w.random.Int63n(int64(600*time.Millisecond)))
	begun := &soakRun{
		task: order.Task, run: order.Run, began: time.Now(), ends: time.Now().Add(length),
		failsAtEnd: w.failsAllRuns || w.random.Float64() < 0.03,
	}
	if members := w.checker.gangSize(order.Task); members > 0 {
		begun.gang = w.cell.gangs.join(order.Task, order.Run, members, length)
	}
	w.runs[order.Task] = begun
	return ""
}

func (w *soakWorker) extendLease(order soakRequest) {
	w.token = max(w.token, order.Token)
	w.leaseDeadline = max(w.leaseDeadline, min(order.Deadline, w.clockMs()+soakMaxHold.Milliseconds()))
}

func (w *soakWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if order.Token >= w.token {
		w.token = order.Token
		if present := w.runs[order.Task]; present != nil && present.run <= order.Run {
			w.endRun(order.Task, "stopped")
		}
		w.highestRun[order.Task] = max(w.highestRun[order.Task], order.Run)
	}
	writeSoakResponse(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMs(), "born": w.born.UnixMilli()})
}

func (w *soakWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.decodeRequest(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if order.Token < w.token {
		writeSoakResponse(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.extendLease(order)
	for len(w.ended) > 0 && w.ended[0].sequence <= order.Cursor {
		w.checker.endAcknowledged(w.ended[0].task, w.ended[0].run, w.ended[0].result)
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond)
	born := w.born
	for len(w.ended) == 0 && time.Now().Before(until) && w.born.Equal(born) {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
		w.endFinishedRuns()
	}
	active, ended := [][]any{}, [][]any{}
	for _, one := range w.runs {
		active = append(active, []any{one.task, one.run, "", 100, 0})
	}
	for _, one := range w.ended {
		ended = append(ended, []any{one.sequence, one.task, one.run, one.result, ""})
	}
	writeSoakResponse(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clockMs(), "born": w.born.UnixMilli(), "active": active, "ended": ended,
	})
}

func writeSoakResponse(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// sendHeartbeats tells the control processes of this worker until ctx ends.
func (w *soakWorker) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		w.mu.Lock()
		w.endFinishedRuns()
		state := "ready"
		if w.drainRequested {
			state = "draining"
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,`+
			`"capacity":{"cpu":%d,"mem_mb":8192,"gpu":0},"labels":["a","r1"],"clock_ms":%d,"sequence":%d,"born":%d,"machine":"m-%s"}`,
			soakService, w.link.Address(), state, soakWorkerCPUMillis, w.clockMs(), sequence, w.born.UnixMilli(), w.id)
		born, gone := w.born, w.gone
		w.mu.Unlock()
		if !gone && w.cell.putToControl(ctx, client, "/api/instances/"+w.id, []byte(body)) && state == "draining" {
			w.update(func() {
				if w.born.Equal(born) && w.drainAckedAt.IsZero() {
					w.drainAckedAt = time.Now()
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(soakHeartbeatInterval):
		}
	}
}
