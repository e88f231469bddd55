package failure_test

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// soakChecker is what callers, workers and operators have seen from outside, and
// the promises that this broke.
type soakChecker struct {
	began time.Time

	mu        sync.Mutex
	jobs      map[string]*soakJob
	runningOn map[string]map[string]bool // workers on which a task runs, by task
	lastStart map[string]time.Time       // last start, by task
	// doneAt holds when a task's run ended as done, and done when that end was
	// acknowledged, so that the worker forgot it.
	doneAt, doneAckedAt map[string]time.Time
	ackedFailures       map[string]map[int64]bool // runs whose failure was acknowledged, by task
	highestAckedVersion int64                     // newest version acknowledged
	violations          []string
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	id          string
	tasks       int
	gang        bool
	acceptedAt  time.Time // first success; zero: none
	cancelledAt time.Time // first acknowledged cancellation
	allRefused  bool      // every answer so far said that it has not run
	started     bool
	lastState   string // last state read
}

const soakMaxAttempts = 3

func newSoakChecker() *soakChecker {
	return &soakChecker{
		began: time.Now(), jobs: make(map[string]*soakJob), runningOn: make(map[string]map[string]bool),
		lastStart: make(map[string]time.Time), doneAt: make(map[string]time.Time),
		doneAckedAt: make(map[string]time.Time), ackedFailures: make(map[string]map[int64]bool),
	}
}

// addViolation notes a broken promise. The caller holds the lock.
func (l *soakChecker) addViolation(format string, args ...any) {
	const most = 20
	if len(l.violations) < most {
		l.violations = append(l.violations, fmt.Sprintf("%7.3f s ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (l *soakChecker) recordedViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// taskStarted checks a start against everything that is known of the task.
func (l *soakChecker) taskStarted(task, worker string, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[jobOf(task)]
	if j == nil {
		l.addViolation("%s started on %s: no caller handed it in", task, worker)
		return
	}
	j.started = true
	if j.allRefused {
		l.addViolation("%s started on %s: every answer said that it had not run", task, worker)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > soakCancelBound && !late {
		l.addViolation("%s started on %s %v after its cancellation", task, worker, time.Since(j.cancelledAt))
	}
	if _, ok := l.doneAckedAt[task]; ok {
		l.addViolation("%s started on %s after it was done", task, worker)
	}
	if len(l.ackedFailures[task]) >= soakMaxAttempts || len(l.ackedFailures[j.id]) >= soakMaxAttempts {
		l.addViolation("%s started on %s after %d failures", task, worker, soakMaxAttempts)
	}
	if len(l.runningOn[task]) > 0 {
		l.addViolation("%s started on %s while it runs on %v", task, worker, l.runningOn[task])
	}
	if l.runningOn[task] == nil {
		l.runningOn[task] = make(map[string]bool)
	}
	l.runningOn[task][worker] = true
	l.lastStart[task] = time.Now()
}

// taskEnded notes the end of a run on a worker; how is empty if the worker's life
// ended with it.
func (l *soakChecker) taskEnded(task, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runningOn[task], worker)
	if how == "done" {
		l.doneAt[task] = time.Now()
	}
}

// recordViolation adds a broken promise that a worker has seen.
func (l *soakChecker) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(format, args...)
}

// endAcknowledged notes an end that the worker was told to forget.
func (l *soakChecker) endAcknowledged(task string, run int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch how {
	case "done":
		l.doneAckedAt[task] = time.Now()
		if l.lastStart[task].After(l.doneAt[task]) {
			l.addViolation("%s started again before its end as done was acknowledged", task)
		}
	case "failed":
		counted := task
		if j := l.jobs[jobOf(task)]; j != nil && j.gang {
			counted = j.id // a gang's members share their failures
		}
		if l.ackedFailures[counted] == nil {
			l.ackedFailures[counted] = make(map[int64]bool)
		}
		l.ackedFailures[counted][run] = true
	}
}

// jobSubmitted notes a job before its first call.
func (l *soakChecker) jobSubmitted(id string, tasks int, gang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &soakJob{id: id, tasks: tasks, gang: gang}
}

// gangSize returns how many members the task's gang has; 0: it is no gang's.
func (l *soakChecker) gangSize(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[jobOf(task)]; j != nil && j.gang {
		return j.tasks
	}
	return 0
}

// submissionAnswered notes the answers to a submission: all of them refusals, or accepted.
func (l *soakChecker) submissionAnswered(id string, accepted, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if accepted && j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	j.allRefused = refused
	if refused && j.started {
		l.addViolation("%s was refused as not run, and had started", id)
	}
}

func (l *soakChecker) cancelAcknowledged(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// stateRead checks a state that a caller read: "" stands for an unknown job.
func (l *soakChecker) stateRead(id, state string, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.lastState = state
	switch {
	case state == "" && !j.acceptedAt.IsZero() && asked.Sub(j.acceptedAt) > soakVisibleBound && j.cancelledAt.IsZero():
		l.addViolation("%s is unknown %v after its acceptance", id, asked.Sub(j.acceptedAt))
	case state == "completed":
		if count := l.countDone(id); count < j.tasks && (!j.gang || count == 0) {
			l.addViolation("%s is shown as completed with %d of %d tasks done", id, count, j.tasks)
		}
	case state == "failed" && !l.hasFailed(id):
		l.addViolation("%s is shown as failed, and none of its tasks has failed %d times", id, soakMaxAttempts)
	case state == "cancelled" && j.cancelledAt.IsZero():
		l.addViolation("%s is shown as cancelled, and nobody cancelled it", id)
	}
}

func (l *soakChecker) countDone(id string) int {
	count := 0
	for task := range l.doneAt {
		if jobOf(task) == id {
			count++
		}
	}
	return count
}

func (l *soakChecker) hasFailed(id string) bool {
	for task, runs := range l.ackedFailures {
		if jobOf(task) == id && len(runs) >= soakMaxAttempts {
			return true
		}
	}
	return false
}

// versionAcknowledged notes an acknowledged version, and versionRead checks one that was
// read by a call begun at a time.
func (l *soakChecker) versionAcknowledged(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestAckedVersion = max(l.highestAckedVersion, version)
}

func (l *soakChecker) newestAckedVersion() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestAckedVersion
}

func (l *soakChecker) versionRead(version, ackedBefore int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < ackedBefore {
		l.addViolation("version %d was read after version %d had been acknowledged", version, ackedBefore)
	}
}

// unfinishedJobs returns the accepted jobs that have not been shown as finished.
func (l *soakChecker) unfinishedJobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for id, j := range l.jobs {
		if !j.acceptedAt.IsZero() && j.lastState != "completed" && j.lastState != "failed" && j.lastState != "cancelled" {
			found = append(found, id)
		}
	}
	return found
}

func (l *soakChecker) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := make(map[string]int)
	for _, j := range l.jobs {
		if !j.acceptedAt.IsZero() {
			shown[j.lastState]++
		}
	}
	return fmt.Sprintf("%d jobs handed in, accepted ones shown as %v, %d tasks done, version %d", len(l.jobs), shown, len(l.doneAckedAt), l.highestAckedVersion)
}
