package failure_test

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// soakLedger is what callers, workers and operators have seen from outside, and
// the promises that this broke.
type soakLedger struct {
	began time.Time

	mu      sync.Mutex
	jobs    map[string]*soakJob
	running map[string]map[string]bool // workers on which a task runs, by task
	started map[string]time.Time       // last start, by task
	// endedDone holds when a task's run ended as done, and done when that end was
	// acknowledged, so that the worker forgot it.
	endedDone, done map[string]time.Time
	failures        map[string]map[int64]bool // runs whose failure was acknowledged, by task
	acked           int64                     // newest version acknowledged
	broken          []string
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	id        string
	tasks     int
	gang      bool
	accepted  time.Time // first success; zero: none
	cancelled time.Time // first acknowledged cancellation
	refused   bool      // every answer so far said that it has not run
	started   bool
	shown     string // last state read
}

const soakAttempts = 3

func newSoakLedger() *soakLedger {
	return &soakLedger{
		began: time.Now(), jobs: make(map[string]*soakJob), running: make(map[string]map[string]bool),
		started: make(map[string]time.Time), endedDone: make(map[string]time.Time),
		done: make(map[string]time.Time), failures: make(map[string]map[int64]bool),
	}
}

// broke notes a broken promise. The caller holds the lock.
func (l *soakLedger) broke(format string, args ...any) {
	const most = 20
	if len(l.broken) < most {
		l.broken = append(l.broken, fmt.Sprintf("%7.3f s ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (l *soakLedger) findings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// taskStarted checks a start against everything that is known of the task.
func (l *soakLedger) taskStarted(task, worker string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[jobOf(task)]
	if j == nil {
		l.broke("%s started on %s: no caller handed it in", task, worker)
		return
	}
	j.started = true
	if j.refused {
		l.broke("%s started on %s: every answer said that it had not run", task, worker)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > soakCancel && !late {
		l.broke("%s started on %s %v after its cancellation", task, worker, time.Since(j.cancelled))
	}
	if _, ok := l.done[task]; ok {
		l.broke("%s started on %s after it was done", task, worker)
	}
	if len(l.failures[task]) >= soakAttempts || len(l.failures[j.id]) >= soakAttempts {
		l.broke("%s started on %s after %d failures", task, worker, soakAttempts)
	}
	if len(l.running[task]) > 0 {
		l.broke("%s started on %s while it runs on %v", task, worker, l.running[task])
	}
	if l.running[task] == nil {
		l.running[task] = make(map[string]bool)
	}
	l.running[task][worker] = true
	l.started[task] = time.Now()
}

// taskEnded notes the end of a run on a worker; how is empty if the worker's life
// ended with it.
func (l *soakLedger) taskEnded(task, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], worker)
	if how == "done" {
		l.endedDone[task] = time.Now()
	}
}

// note adds a broken promise that a worker has seen.
func (l *soakLedger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broke(format, args...)
}

// endAcknowledged notes an end that the worker was told to forget.
func (l *soakLedger) endAcknowledged(task string, run int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch how {
	case "done":
		l.done[task] = time.Now()
		if l.started[task].After(l.endedDone[task]) {
			l.broke("%s started again before its end as done was acknowledged", task)
		}
	case "failed":
		counted := task
		if j := l.jobs[jobOf(task)]; j != nil && j.gang {
			counted = j.id // a gang's members share their failures
		}
		if l.failures[counted] == nil {
			l.failures[counted] = make(map[int64]bool)
		}
		l.failures[counted][run] = true
	}
}

// handedIn notes a job before its first call.
func (l *soakLedger) handedIn(id string, tasks int, gang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &soakJob{id: id, tasks: tasks, gang: gang}
}

// members returns how many members the task's gang has; 0: it is no gang's.
func (l *soakLedger) members(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[jobOf(task)]; j != nil && j.gang {
		return j.tasks
	}
	return 0
}

// answered notes the answers to a submission: all of them refusals, or accepted.
func (l *soakLedger) answered(id string, accepted, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if accepted && j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	j.refused = refused
	if refused && j.started {
		l.broke("%s was refused as not run, and had started", id)
	}
}

func (l *soakLedger) cancelAnswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// stateRead checks a state that a caller read: "" stands for an unknown job.
func (l *soakLedger) stateRead(id, state string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.shown = state
	switch {
	case state == "" && !j.accepted.IsZero() && asked.Sub(j.accepted) > soakVisible && j.cancelled.IsZero():
		l.broke("%s is unknown %v after its acceptance", id, asked.Sub(j.accepted))
	case state == "completed":
		if count := l.doneOf(id); count < j.tasks && (!j.gang || count == 0) {
			l.broke("%s is shown as completed with %d of %d tasks done", id, count, j.tasks)
		}
	case state == "failed" && !l.hasFailed(id):
		l.broke("%s is shown as failed, and none of its tasks has failed %d times", id, soakAttempts)
	case state == "cancelled" && j.cancelled.IsZero():
		l.broke("%s is shown as cancelled, and nobody cancelled it", id)
	}
}

func (l *soakLedger) doneOf(id string) int {
	count := 0
	for task := range l.endedDone {
		if jobOf(task) == id {
			count++
		}
	}
	return count
}

func (l *soakLedger) hasFailed(id string) bool {
	for task, runs := range l.failures {
		if jobOf(task) == id && len(runs) >= soakAttempts {
			return true
		}
	}
	return false
}

// published notes an acknowledged version, and versionRead checks one that was
// read by a call begun at a time.
func (l *soakLedger) published(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = max(l.acked, version)
}

func (l *soakLedger) newestAcked() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}

func (l *soakLedger) versionRead(version, ackedBefore int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < ackedBefore {
		l.broke("version %d was read after version %d had been acknowledged", version, ackedBefore)
	}
}

// openJobs returns the accepted jobs that have not been shown as finished.
func (l *soakLedger) openJobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for id, j := range l.jobs {
		if !j.accepted.IsZero() && j.shown != "completed" && j.shown != "failed" && j.shown != "cancelled" {
			found = append(found, id)
		}
	}
	return found
}

func (l *soakLedger) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := make(map[string]int)
	for _, j := range l.jobs {
		if !j.accepted.IsZero() {
			shown[j.shown]++
		}
	}
	return fmt.Sprintf("%d jobs handed in, accepted ones shown as %v, %d tasks done, version %d", len(l.jobs), shown, len(l.done), l.acked)
}
