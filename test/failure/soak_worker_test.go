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
	soakService   = "planning"
	soakCPU       = 4000
	soakHeartbeat = 300 * time.Millisecond
	soakMaxHold   = 4 * time.Second
	// soakLateStart is how long a start that got no answer may take to arrive.
	soakLateStart = 3 * time.Second
)

// soakWorker is a worker of the users' platform: it starts whatever it is told,
// keeps the highest token, and forgets the ends that were acknowledged. It is
// reached through a relay.
type soakWorker struct {
	t      testing.TB
	cell   *soakCell
	ledger *soakLedger
	id     string
	link   *relay.Relay
	server *http.Server

	mu       sync.Mutex
	random   *rand.Rand
	born     time.Time
	token    uint64
	deadline int64
	runs     map[string]*soakRun
	highest  map[string]int64 // run ended or stopped, by task
	ended    []soakEnd
	number   int64
	draining time.Time // when the report that says so was acknowledged
	drains   bool
	lateRate float64 // of the starts that get no answer and are carried out late
	grey     bool    // every run fails
	gone     bool
	changed  chan struct{}
}

type soakRun struct {
	task  string
	run   int64
	began time.Time
	ends  time.Time
	fails bool
	gang  *soakGang // nil: a single task
}

// outcome returns how the run ends by now; "": it goes on.
func (r *soakRun) outcome(now time.Time) string {
	switch {
	case r.fails && now.After(r.ends):
		return "failed"
	case r.gang != nil:
		return r.gang.outcome(now, r.began)
	case now.After(r.ends):
		return "done"
	}
	return ""
}

func (r *soakRun) left(how string) {
	if r.gang != nil {
		r.gang.left(how)
	}
}

type soakEnd struct {
	number int64
	task   string
	run    int64
	how    string
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
		t: cell.t, cell: cell, ledger: cell.ledger, id: id, link: link, random: rand.New(rand.NewSource(seed)),
		changed: make(chan struct{}),
	}
	w.begin()
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

// begin starts a new life, which knows nothing of the one before.
func (w *soakWorker) begin() {
	w.born = time.Now()
	w.token, w.deadline, w.number, w.ended = 0, 0, 0, nil
	w.runs, w.highest = make(map[string]*soakRun), make(map[string]int64)
	w.drains, w.draining = false, time.Time{}
}

// crash ends the life with all that runs, and begins the next one.
func (w *soakWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		w.ledger.taskEnded(task, w.id, "")
		r.left("")
	}
	w.begin()
	w.link.CloseConnections()
}

func (w *soakWorker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *soakWorker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// settle ends the runs that are over by now. The caller holds the lock.
func (w *soakWorker) settle() {
	now := time.Now()
	for task, r := range w.runs {
		if w.clock() > w.deadline {
			w.end(task, "lapsed")
		} else if how := r.outcome(now); how != "" {
			w.end(task, how)
		}
	}
}

func (w *soakWorker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.ledger.taskEnded(task, w.id, how)
	r.left(how)
	w.number++
	w.ended = append(w.ended, soakEnd{w.number, task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type soakOrder struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	WaitMs   int64  `json:"wait_ms"`
}

// take reads an order that is meant for the present life, with the lock held
// when it returns true.
func (w *soakWorker) take(rw http.ResponseWriter, r *http.Request) (soakOrder, bool) {
	var order soakOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return order, false
	}
	if r.Header.Get("X-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return order, false
	}
	w.mu.Lock()
	w.settle()
	return order, true
}

func (w *soakWorker) serveStart(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.random.Float64() < w.lateRate {
		born := w.born
		time.AfterFunc(time.Duration(w.random.Int63n(int64(soakLateStart))), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born.Equal(born) {
				w.settle()
				w.start(order, true)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if reason := w.start(order, false); reason != "" {
		soakReply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()})
		return
	}
	soakReply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *soakWorker) start(order soakOrder, late bool) (refusal string) {
	switch {
	case order.Token < w.token:
		return "fence"
	case order.Run <= w.highest[order.Task]:
		w.extend(order)
		return "old"
	case order.Deadline < w.clock():
		return "late"
	}
	w.extend(order)
	if present := w.runs[order.Task]; present != nil && present.run == order.Run {
		return ""
	}
	if w.drains && !w.draining.IsZero() && time.Since(w.draining) > soakDrain && !late {
		w.ledger.note("%s started on %s %v after its leave was acknowledged", order.Task, w.id, time.Since(w.draining))
	}
	if (len(w.runs)+1)*soakTaskCPU > soakCPU {
		w.ledger.note("%s started on %s, which is full", order.Task, w.id)
	}
	w.ledger.taskStarted(order.Task, w.id, late)
	length := 50*time.Millisecond + time.Duration(w.random.Int63n(int64(600*time.Millisecond)))
	begun := &soakRun{
		task: order.Task, run: order.Run, began: time.Now(), ends: time.Now().Add(length),
		fails: w.grey || w.random.Float64() < 0.03,
	}
	if members := w.ledger.members(order.Task); members > 0 {
		begun.gang = w.cell.gangs.join(order.Task, order.Run, members, length)
	}
	w.runs[order.Task] = begun
	return ""
}

func (w *soakWorker) extend(order soakOrder) {
	w.token = max(w.token, order.Token)
	w.deadline = max(w.deadline, min(order.Deadline, w.clock()+soakMaxHold.Milliseconds()))
}

func (w *soakWorker) serveStop(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if order.Token >= w.token {
		w.token = order.Token
		if present := w.runs[order.Task]; present != nil && present.run <= order.Run {
			w.end(order.Task, "stopped")
		}
		w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	}
	soakReply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *soakWorker) serveHold(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if order.Token < w.token {
		soakReply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence", "born": w.born.UnixMilli()})
		return
	}
	w.extend(order)
	for len(w.ended) > 0 && w.ended[0].number <= order.Cursor {
		w.ledger.endAcknowledged(w.ended[0].task, w.ended[0].run, w.ended[0].how)
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond)
	born := w.born
	for len(w.ended) == 0 && time.Now().Before(until) && w.born.Equal(born) {
		w.mu.Unlock()
		time.Sleep(pollPause)
		w.mu.Lock()
		w.settle()
	}
	active, ended := [][]any{}, [][]any{}
	for _, one := range w.runs {
		active = append(active, []any{one.task, one.run, "", 100, 0})
	}
	for _, one := range w.ended {
		ended = append(ended, []any{one.number, one.task, one.run, one.how, ""})
	}
	soakReply(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "active": active, "ended": ended,
	})
}

func soakReply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// report tells the control processes of this worker until ctx ends.
func (w *soakWorker) report(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		w.mu.Lock()
		w.settle()
		state := "ready"
		if w.drains {
			state = "draining"
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,`+
			`"capacity":{"cpu":%d,"mem_mb":8192,"gpu":0},"labels":["a","r1"],"clock_ms":%d,"sequence":%d,"born":%d,"machine":"m-%s"}`,
			soakService, w.link.Address(), state, soakCPU, w.clock(), sequence, w.born.UnixMilli(), w.id)
		born, gone := w.born, w.gone
		w.mu.Unlock()
		if !gone && w.cell.putToControl(ctx, client, "/api/instances/"+w.id, []byte(body)) && state == "draining" {
			w.set(func() {
				if w.born.Equal(born) && w.draining.IsZero() {
					w.draining = time.Now()
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(soakHeartbeat):
		}
	}
}
