package failure_test

import (
	"encoding/json"
	"math/rand"
	"net/http"
	"time"
)

// soakPendingAge is the age from which an accepted job counts in the number of pending
// jobs: until it is visible, and the age that the number may have.
const soakPendingAge = soakVisibleBound + 2*time.Second

// readPending reads the number of pending jobs from a random entry and checks it, if the
// entry and the control processes are without a fault.
func (c *soakCell) readPending(client *http.Client, random *rand.Rand) {
	entry := pickOne(random, c.currentEntries())
	waiting := c.checker.waitingJobs(time.Now())
	reported, ok := c.pending(client, entry)
	still := c.checker.stillWaiting(waiting)
	if ok && entry.inTouch() && c.checker.inTouch() && 2*reported < still {
		c.checker.recordViolation("%s reports %d pending jobs of %d", entry.name, reported, still)
	}
}

// checkNonePending checks that the number of pending jobs falls to that of the unfinished
// jobs, at every entry.
func (c *soakCell) checkNonePending(client *http.Client) {
	for _, entry := range c.currentEntries() {
		reported, unfinished := 0, 0
		if !holdsWithin(2*soakPendingAge, func() (ok bool) {
			reported, ok = c.pending(client, entry)
			unfinished = len(c.checker.unfinishedJobs(true))
			return ok && reported <= unfinished
		}) {
			c.checker.recordViolation("%s reports %d pending jobs, and %d are unfinished", entry.name, reported, unfinished)
		}
	}
}

// pending returns the number of pending jobs that the entry reports; it returns false if it
// reports none.
func (c *soakCell) pending(client *http.Client, entry *soakProcess) (int, bool) {
	result := c.callEntry(client, entry, http.MethodGet, "", nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	if result.status != http.StatusOK {
		return 0, false
	}
	if err := json.Unmarshal(result.body, &body); err != nil || body.Pending == nil {
		c.checker.recordViolation("the number of pending jobs could not be decoded: %q", result.body)
		return 0, false
	}
	return *body.Pending, true
}

// waitingJobs returns the accepted jobs that are old enough to count as pending and of
// which no task has started.
func (c *soakChecker) waitingJobs(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for id, j := range c.jobs {
		if !j.acceptedAt.IsZero() && now.Sub(j.acceptedAt) > soakPendingAge && !j.started && len(j.cancels) == 0 && !j.finished() {
			found = append(found, id)
		}
	}
	return found
}

// stillWaiting returns how many of the jobs wait to be started.
func (c *soakChecker) stillWaiting(ids []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, id := range ids {
		if j := c.jobs[id]; !j.started && len(j.cancels) == 0 {
			count++
		}
	}
	return count
}
