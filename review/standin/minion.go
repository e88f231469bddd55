package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// plan says how long a run works and how it ends; "" means that it goes on until it is stopped.
type plan func(task string, number int64, minion string) (length time.Duration, how string)

// minion follows PROTOCOL.md, "Running tasks" and "Service discovery".
type minion struct {
	c    *cell
	name string
	ip   string
	plan plan
	rack string

	mu       sync.Mutex
	life     *life // nil: it is down
	lives    int
	cut      chan struct{} // closed when the cut heals; nil: there is none
	refusing bool          // a cut by which connections are reset
	startups time.Duration // until a lasting task is at work
}

// life is one lifetime of a minion. Its fields are guarded by the minion's mutex.
type life struct {
	m        *minion
	id       string
	born     time.Time
	server   *http.Server
	done     chan struct{}
	sequence int64
	token    uint64
	deadline int64 // ms on its clock
	active   map[string]*active
	highest  map[string]int64 // by task: the highest run that was stopped or ended
	ended    []end
	lastEnd  int64
	changed  chan struct{} // closed and replaced at each end
	beatURL  string
}

type active struct {
	record *run
	since  time.Time
	timer  *time.Timer
}

type end struct {
	n      int64
	record *run
}

const capacityCPU, capacityMem = 16000, 65536

func (c *cell) addMinion(plan plan) error {
	i := len(c.minions)
	m := &minion{c: c, name: fmt.Sprintf("m%d", i+1), ip: c.minionIP(i), plan: plan, rack: fmt.Sprintf("r1-%d", 1+i/8), startups: 300 * time.Millisecond}
	c.minions = append(c.minions, m)
	return m.up()
}

func (m *minion) address() string { return m.c.at(m.ip, minionPort) }

// up begins a new lifetime under a new id.
func (m *minion) up() error {
	listener, err := listenAt(m.address())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	l := &life{
		m: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), born: time.Now(), done: make(chan struct{}),
		active: make(map[string]*active), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	l.listen(listener)
	m.life = l
	go l.beat()
	go l.expire()
	m.c.rec.logf("minion %s is up as %s", m.name, l.id)
	return nil
}

// listen serves the lifetime's calls at the listener. The caller holds the lock.
func (l *life) listen(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", l.handle(l.start))
	mux.HandleFunc("POST /api/run-stop", l.handle(l.stop))
	mux.HandleFunc("POST /api/hold", l.handle(l.hold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{Handler: mux}
	l.server = server
	go func() { _ = server.Serve(cuttable{listener, l.m}) }()
}

// cutOffWithResets resets all connections to the minion and refuses new ones, until heal. The
// minion runs on.
func (m *minion) cutOffWithResets() {
	m.mu.Lock()
	m.refusing = true
	server := m.life.server
	m.mu.Unlock()
	m.c.rec.disruption("minion %s is cut off; connections to it are reset", m.name)
	_ = server.Close()
}

// healResets ends cutOffWithResets.
func (m *minion) healResets() error {
	listener, err := listenAt(m.address())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusing = false
	m.life.listen(listener)
	m.c.rec.disruption("minion %s can be reached again", m.name)
	return nil
}

// crash ends the lifetime: everything that runs there is gone, and nothing is sent.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	if l == nil {
		m.mu.Unlock()
		return
	}
	close(l.done)
	for task, a := range l.active {
		a.timer.Stop()
		m.c.rec.ended(a.record, "crashed", 0)
		delete(l.active, task)
	}
	m.mu.Unlock()
	_ = l.server.Close()
	m.c.rec.logf("minion %s (%s) is down", m.name, l.id)
}

func (m *minion) close() {
	m.crash()
	m.heal()
}

// cutOff drops all that is sent to and from the minion, until heal.
func (m *minion) cutOff() {
	m.mu.Lock()
	m.cut = make(chan struct{})
	m.mu.Unlock()
	m.c.rec.disruption("minion %s is cut off", m.name)
}

func (m *minion) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut != nil {
		close(m.cut)
		m.cut = nil
		m.c.rec.disruption("minion %s can be reached again", m.name)
	}
}

func (m *minion) ongoingCut() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// cuttable is a listener whose connections go silent during a cut, and are lost with it: their
// other end has given them up, or will find them reset.
type cuttable struct {
	net.Listener
	m *minion
}

func (l cuttable) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return cuttableConn{conn, l.m}, nil
}

type cuttableConn struct {
	net.Conn
	m *minion
}

func (c cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.lostInCut() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c cuttableConn) Write(b []byte) (int, error) {
	if c.lostInCut() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c cuttableConn) lostInCut() bool {
	cut := c.m.ongoingCut()
	if cut == nil {
		return false
	}
	<-cut
	_ = c.Close()
	return true
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

func (l *life) handle(serve func(r *http.Request, body map[string]any) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var body map[string]any
		decoder := json.NewDecoder(r.Body)
		decoder.UseNumber()
		if err := decoder.Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, answer := serve(r, body)
		answer["clock_ms"] = l.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func number(body map[string]any, key string) int64 {
	text, _ := body[key].(json.Number)
	value, _ := strconv.ParseInt(string(text), 10, 64)
	return value
}

// abortIfDown breaks off an answer: a minion that has crashed sends nothing.
func (l *life) abortIfDown() {
	select {
	case <-l.done:
		panic(http.ErrAbortHandler)
	default:
	}
}

// fenced checks the token and takes the deadline. The caller holds the lock.
func (l *life) fenced(body map[string]any) bool {
	token := uint64(number(body, "fencing_token"))
	if token < l.token {
		return true
	}
	l.token = token
	l.deadline = max(l.deadline, min(number(body, "deadline_ms"), l.clock()+maxHold.Milliseconds()))
	return false
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (l *life) start(_ *http.Request, body map[string]any) (int, map[string]any) {
	task, _ := body["task"].(string)
	runID := number(body, "run_id")
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	switch a := l.active[task]; {
	case l.fenced(body):
		return refusal("fence")
	case a != nil && a.record.number == runID:
		return http.StatusOK, map[string]any{}
	case runID <= l.highest[task]:
		return refusal("old")
	case number(body, "deadline_ms") <= l.clock():
		return refusal("late")
	}
	l.abortIfDown()
	a := &active{record: l.m.c.rec.started(task, runID, l.id), since: time.Now()}
	length, how := l.m.plan(task, runID, l.m.name)
	a.timer = time.AfterFunc(length, func() {
		if how != "" {
			l.m.mu.Lock()
			defer l.m.mu.Unlock()
			l.finish(task, a, how)
		}
	})
	l.active[task] = a
	return http.StatusOK, map[string]any{}
}

// finish ends a run, unless it has ended. The caller holds the lock.
func (l *life) finish(task string, a *active, how string) {
	if l.active[task] != a {
		return
	}
	a.timer.Stop()
	delete(l.active, task)
	l.highest[task] = max(l.highest[task], a.record.number)
	l.lastEnd++
	l.ended = append(l.ended, end{l.lastEnd, a.record})
	l.m.c.rec.ended(a.record, how, l.lastEnd)
	close(l.changed)
	l.changed = make(chan struct{})
}

// failTask ends the task's run as failed, if it runs here.
func (m *minion) failTask(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil || m.life.active[task] == nil {
		return false
	}
	m.life.finish(task, m.life.active[task], "failed")
	return true
}

// running returns how many tasks run here.
func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return 0
	}
	return len(m.life.active)
}

// runs reports whether the task runs here.
func (m *minion) runs(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life != nil && m.life.active[task] != nil
}

func (l *life) stop(_ *http.Request, body map[string]any) (int, map[string]any) {
	task, _ := body["task"].(string)
	runID := number(body, "run_id")
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.fenced(body) {
		return refusal("fence")
	}
	l.highest[task] = max(l.highest[task], runID)
	if a := l.active[task]; a != nil && a.record.number <= runID {
		l.m.c.rec.logf("order: %s stops %s run %d", l.id, task, a.record.number)
		l.finish(task, a, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (l *life) hold(r *http.Request, body map[string]any) (int, map[string]any) {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.fenced(body) {
		return refusal("fence")
	}
	cursor := number(body, "ack_cursor")
	for len(l.ended) > 0 && l.ended[0].n <= cursor {
		l.m.c.rec.taken(l.ended[0].record)
		l.ended = l.ended[1:]
	}
	until := time.After(time.Duration(min(number(body, "wait_ms"), 2000)) * time.Millisecond)
	for waiting := true; waiting && len(l.ended) == 0; {
		changed := l.changed
		l.m.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		case <-l.done:
		}
		l.m.mu.Lock()
		l.abortIfDown()
	}
	actives, ends := []any{}, []any{}
	tasks := make([]string, 0, len(l.active))
	for task := range l.active {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		a := l.active[task]
		percent := 0
		if time.Since(a.since) >= l.m.startups {
			percent = 100
		}
		actives = append(actives, []any{task, a.record.number, "", percent, 0})
	}
	for _, e := range l.ended[:min(len(l.ended), endsListed)] {
		ends = append(ends, []any{e.n, e.record.task, e.record.number, e.record.how, ""})
	}
	if len(l.ended) > endsListed {
		l.m.c.rec.logf("%s lists %d of its %d ends", l.id, endsListed, len(l.ended))
	}
	return http.StatusOK, map[string]any{"active": actives, "ended": ends, "born": l.born.UnixMilli()}
}

// expire ends all runs once the lease has expired.
func (l *life) expire() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		l.m.mu.Lock()
		if l.clock() > l.deadline {
			for task, a := range l.active {
				l.finish(task, a, "lapsed")
			}
			for _, e := range l.ended {
				l.m.c.rec.leaseLapsed(e.record)
			}
		}
		l.m.mu.Unlock()
	}
}

// beat sends a liveness report at once and then one each heartbeat.
func (l *life) beat() {
	for next := 0; ; {
		l.m.mu.Lock()
		l.sequence++
		report := map[string]any{
			"service": service, "address": l.m.address(), "zone": "sur-montevideo", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0},
			"labels": []string{"a", l.m.rack}, "clock_ms": l.clock(), "sequence": l.sequence, "born": l.born.UnixMilli(),
			"machine": "m-" + l.m.name,
		}
		address, cutOff := l.beatURL, l.m.cut != nil || l.m.refusing
		l.m.mu.Unlock()
		wait := heartbeat
		if !cutOff {
			if address == "" {
				address = l.m.c.at(l.m.c.knownIP(next), controlPort)
			}
			status, answer, err := l.m.c.call(http.MethodPut, address, "/api/instances/"+l.id, "", report)
			var decoded struct {
				URL string `json:"heartbeat_url"`
			}
			if err == nil && status/100 == 2 {
				_ = json.Unmarshal(answer, &decoded)
			} else {
				next++
				wait = 200 * time.Millisecond
			}
			l.m.mu.Lock()
			l.beatURL = decoded.URL
			l.m.mu.Unlock()
		}
		select {
		case <-l.done:
			return
		case <-time.After(wait):
		}
	}
}
