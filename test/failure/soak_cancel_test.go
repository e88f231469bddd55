package failure_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// soakCancel is one request to cancel a job.
type soakCancel struct {
	sentAt     time.Time
	answeredAt time.Time // zero: not answered yet
	status     int       // of the response; 0: none
}

// mayHaveRun reports whether the cancellation may have been carried out: it was sent, and no response says that it has not
// run.
func (c soakCancel) mayHaveRun() bool {
	return c.status != http.StatusServiceUnavailable && c.status != http.StatusTooManyRequests
}

// mayBeCancelled reports whether a cancellation that may have been carried out has been sent, answered or not.
func (j *soakJob) mayBeCancelled() bool { return slices.ContainsFunc(j.cancels, soakCancel.mayHaveRun) }

// cancelSent records a cancellation before it is sent.
func (c *soakChecker) cancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.cancels = append(j.cancels, soakCancel{sentAt: time.Now()})
}

// cancelAnswered records the status of the response to the cancellation that was sent last; 0: there was none.
func (c *soakChecker) cancelAnswered(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	last := &j.cancels[len(j.cancels)-1]
	last.answeredAt, last.status = time.Now(), status
	if status == http.StatusOK && j.cancelledAt.IsZero() {
		j.cancelledAt = last.answeredAt
	}
}

// cancelTrace describes the cancellations of a job. The caller holds the lock.
func (c *soakChecker) cancelTrace(j *soakJob) string {
	if len(j.cancels) == 0 {
		return "no cancellation was sent"
	}
	var lines []string
	for _, cancel := range j.cancels {
		line := fmt.Sprintf("sent at %.3f s, not answered yet", cancel.sentAt.Sub(c.began).Seconds())
		if !cancel.answeredAt.IsZero() {
			line = fmt.Sprintf("sent at %.3f s, status %d at %.3f s", cancel.sentAt.Sub(c.began).Seconds(), cancel.status,
				cancel.answeredAt.Sub(c.began).Seconds())
		}
		lines = append(lines, line)
	}
	return "cancellations: " + strings.Join(lines, "; ")
}

// cancelledRead checks that a job which is reported as cancelled may be. before is the state that was read before. The caller
// holds the lock.
func (c *soakChecker) cancelledRead(j *soakJob, before string) {
	if !j.cancelledAt.IsZero() {
		return
	}
	if !j.mayBeCancelled() {
		c.addViolation("%s is reported as cancelled, and nobody cancelled it; %s", j.id, c.cancelTrace(j))
	}
	const maxTraces = 20
	if before != "cancelled" && len(c.readBeforeAck) < maxTraces {
		c.readBeforeAck = append(c.readBeforeAck, fmt.Sprintf("%s at %.3f s, %s", j.id, time.Since(c.began).Seconds(), c.cancelTrace(j)))
	}
}

// countInState returns how many jobs were last reported in the state.
func (c *soakChecker) countInState(state string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, j := range c.jobs {
		if j.lastState == state {
			count++
		}
	}
	return count
}

// cancelSummary returns how many cancellations had which status for the test's log, and the jobs that were read as cancelled
// before a cancellation was acknowledged.
func (c *soakChecker) cancelSummary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	byStatus := make(map[int]int)
	for _, j := range c.jobs {
		for _, cancel := range j.cancels {
			byStatus[cancel.status]++
		}
	}
	return fmt.Sprintf("cancellations by status %v; read as cancelled before an acknowledgement: %q", byStatus, c.readBeforeAck)
}
