package failure_test

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// soakChecker records what callers, workers and operators observe, and the guarantees
// of the cell that this violates. It is safe for concurrent use.
type soakChecker struct {
	began time.Time

	mu        sync.Mutex
	jobs      map[string]*soakJob
	runningOn map[string]map[string]bool // workers that run a task, by task
	lastStart map[string]time.Time       // by task
	runs      map[soakRunKey]string      // workers on which they were started
	deadly    map[string]*soakDeadlyTask // by task
	crashes   map[string]int             // of workers while they ran the task, by task
	touch     soakTouch
	// doneAt holds the time when a task's run ended as done; doneAckedAt holds the
	// time when this was acknowledged to the worker, which then forgets the run.
	// Both are by task.
	doneAt, doneAckedAt map[string]time.Time
	// ackedFailures and reportedFailures are the runs whose failure was acknowledged to the worker, and those whose
	// failure it has reported, by task or, for gangs, by job.
	ackedFailures, reportedFailures map[string]map[int64]bool
	highestAckedVersion             int64 // of the configuration
	violations                      []string
}

// soakJob is a job as observed by its caller.
type soakJob struct {
	id          string
	tasks       int
	gang        bool
	acceptedAt  time.Time // first successful response; zero: none
	cancelledAt time.Time // first acknowledged cancellation; zero: none
	allRefused  bool      // every response so far said that the job has not run
	cancelSent  bool
	cancels     []int // status codes of the answers to cancellations; 0: none came
	started     bool
	lastState   string // last state read; "": none or unknown job
}

// finished reports whether the job was last reported in a final state.
func (j *soakJob) finished() bool {
	return j.lastState == "completed" || j.lastState == "failed" || j.lastState == "cancelled"
}

// soakRunKey identifies a run.
type soakRunKey struct {
	task string
	run  int64
}

const soakMaxAttempts = 3

func newSoakChecker() *soakChecker {
	return &soakChecker{
		began: time.Now(), jobs: make(map[string]*soakJob), runningOn: make(map[string]map[string]bool),
		lastStart: make(map[string]time.Time), doneAt: make(map[string]time.Time),
		doneAckedAt: make(map[string]time.Time), ackedFailures: make(map[string]map[int64]bool),
		reportedFailures: make(map[string]map[int64]bool),
		runs:             make(map[soakRunKey]string), deadly: make(map[string]*soakDeadlyTask), crashes: make(map[string]int),
	}
}

// addViolation records a violation, up to 20 of them. The caller holds the lock.
func (c *soakChecker) addViolation(format string, args ...any) {
	const maxViolations = 20
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%7.3f s ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *soakChecker) recordedViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// taskStarted records the start of a run on a worker and checks that it was allowed.
// late: the worker carries out the request long after it was received.
func (c *soakChecker) taskStarted(request soakRequest, worker string, late bool) {
	task := request.Task
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[jobOf(task)]
	if j == nil {
		c.addViolation("%s started on %s: no caller submitted it", task, worker)
		return
	}
	j.started = true
	// A start that is sent again may be executed again by the worker's next incarnation.
	key := soakRunKey{task, request.Run}
	if earlier, again := c.runs[key]; again && earlier != worker {
		c.addViolation("run %d of %s started on %s, and before on %s", request.Run, task, worker, earlier)
	}
	c.runs[key] = worker
	c.checkBudget(task, worker, request.received)
	if j.allRefused {
		c.addViolation("%s started on %s: every response said that it had not run", task, worker)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > soakCancelBound && !late {
		c.addViolation("%s started on %s %v after its cancellation", task, worker, time.Since(j.cancelledAt))
	}
	if _, ok := c.doneAckedAt[task]; ok {
		c.addViolation("%s started on %s after it was done", task, worker)
	}
	if len(c.ackedFailures[task]) >= soakMaxAttempts || len(c.ackedFailures[j.id]) >= soakMaxAttempts {
		c.addViolation("%s started on %s after %d failures", task, worker, soakMaxAttempts)
	}
	if len(c.runningOn[task]) > 0 {
		c.addViolation("%s started on %s while it runs on %v", task, worker, c.runningOn[task])
	}
	if c.runningOn[task] == nil {
		c.runningOn[task] = make(map[string]bool)
	}
	c.runningOn[task][worker] = true
	c.lastStart[task] = time.Now()
}

// taskEnded records the end of a run on a worker; result is empty if the worker's
// incarnation ended with it.
func (c *soakChecker) taskEnded(task, worker, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runningOn[task], worker)
	if result == "done" {
		c.doneAt[task] = time.Now()
	}
}

// recordViolation records a violation observed outside of the checker.
func (c *soakChecker) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// endAcknowledged records that a run's result was acknowledged to the worker.
func (c *soakChecker) endAcknowledged(task string, run int64, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result {
	case "done":
		c.doneAckedAt[task] = time.Now()
		if c.lastStart[task].After(c.doneAt[task]) {
			c.addViolation("%s started again before its result done was acknowledged", task)
		}
	case "failed":
		c.addFailure(c.ackedFailures, task, run)
	}
}

// jobSubmitted records a job before the first call that submits it.
func (c *soakChecker) jobSubmitted(id string, tasks int, gang bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &soakJob{id: id, tasks: tasks, gang: gang}
}

// gangSize returns the number of members of the task's gang; 0 if it belongs to none.
func (c *soakChecker) gangSize(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[jobOf(task)]; j != nil && j.gang {
		return j.tasks
	}
	return 0
}

// submissionAnswered records the result of a submission: accepted, refused by every
// response, or neither.
func (c *soakChecker) submissionAnswered(id string, accepted, allRefused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if accepted && j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
	j.allRefused = allRefused
	if allRefused && j.started {
		c.addViolation("%s was refused as not run, and had started", id)
	}
}

// cancelAnswered records the status code of the answer to a cancellation; 0: none came.
func (c *soakChecker) cancelAnswered(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancels = append(c.jobs[id].cancels, status)
}

// cancelAcknowledged records the first acknowledged cancellation of a job.
func (c *soakChecker) cancelAcknowledged(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// stateRead checks the state that a caller read with a call sent at sentAt; "" means
// that the job is unknown.
func (c *soakChecker) stateRead(id, state string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.lastState = state
	switch {
	case state == "" && !j.acceptedAt.IsZero() && sentAt.Sub(j.acceptedAt) > soakVisibleBound && j.cancelledAt.IsZero():
		c.addViolation("%s is unknown %v after its acceptance", id, sentAt.Sub(j.acceptedAt))
	case state == "completed":
		if count := c.countDone(id); count < j.tasks && (!j.gang || count == 0) {
			c.addViolation("%s is reported as completed with %d of %d tasks done", id, count, j.tasks)
		}
	case state == "failed" && !c.hasFailed(id):
		if task, crashes := c.mostCrashes(id); crashes < soakGiveUpCrashes {
			c.addViolation("%s is reported as failed, none of its tasks has failed %d times, and %d workers have crashed under %q, under no other task more",
				id, soakMaxAttempts, crashes, task)
		}
	case state == "cancelled" && j.cancelledAt.IsZero():
		c.addViolation("%s is reported as cancelled, and nobody cancelled it (a cancellation was sent: %v; answers: %v)", id, j.cancelSent, j.cancels)
	}
}

// countDone returns how many tasks of a job were done. The caller holds the lock.
func (c *soakChecker) countDone(id string) int {
	count := 0
	for task := range c.doneAt {
		if jobOf(task) == id {
			count++
		}
	}
	return count
}

// versionAcknowledged records that the publication of a version was acknowledged.
func (c *soakChecker) versionAcknowledged(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestAckedVersion = max(c.highestAckedVersion, version)
}

// newestAckedVersion returns the highest acknowledged version.
func (c *soakChecker) newestAckedVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highestAckedVersion
}

// versionRead checks a version that was read; ackedBefore is newestAckedVersion when
// the call began.
func (c *soakChecker) versionRead(version, ackedBefore int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < ackedBefore {
		c.addViolation("version %d was read after version %d had been acknowledged", version, ackedBefore)
	}
}

// unfinishedJobs returns the accepted jobs that have not been reported as finished. Unless
// all is set, it leaves out those that may be given up.
func (c *soakChecker) unfinishedJobs(all bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for id, j := range c.jobs {
		if !j.acceptedAt.IsZero() && !j.finished() && (all || !c.mayBeGivenUp(id)) {
			found = append(found, id)
		}
	}
	return found
}

// summary returns the counts of jobs and tasks for the test's log.
func (c *soakChecker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	byState := make(map[string]int)
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			byState[j.lastState]++
		}
	}
	return fmt.Sprintf("%d jobs submitted, states of accepted ones %v, %d tasks done, version %d", len(c.jobs), byState, len(c.doneAckedAt), c.highestAckedVersion)
}
