package failure_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelledStateNeedsACancellation checks the checker: a job may be reported as cancelled from when a cancellation was
// sent that may have been carried out, and not otherwise.
func TestCancelledStateNeedsACancellation(t *testing.T) {
	const id = "0000000000000001"
	sent := func(statuses ...int) func(*soakChecker) {
		return func(c *soakChecker) {
			for _, status := range statuses {
				c.cancelSent(id)
				c.cancelAnswered(id, status)
			}
		}
	}
	for name, tc := range map[string]struct {
		before  func(c *soakChecker)
		allowed bool
	}{
		"none was sent":          {func(*soakChecker) {}, false},
		"one is sent later":      {func(*soakChecker) {}, false},
		"one of another job":     {func(c *soakChecker) { c.jobSubmitted("other", 1, false); c.cancelSent("other") }, false},
		"refused as not run":     {sent(http.StatusServiceUnavailable), false},
		"refused over a limit":   {sent(http.StatusTooManyRequests), false},
		"all refused as not run": {sent(http.StatusServiceUnavailable, http.StatusServiceUnavailable), false},
		"acknowledged":           {sent(http.StatusOK), true},
		"no answer":              {sent(0), true},
		"not answered yet":       {func(c *soakChecker) { c.cancelSent(id) }, true},
		"indeterminate":          {sent(http.StatusGatewayTimeout), true},
		"refused as not run, then without an answer": {sent(http.StatusServiceUnavailable, 0), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newSoakChecker()
			c.jobSubmitted(id, 1, false)
			c.submissionAnswered(id, true, false)
			tc.before(c)
			c.stateRead(id, "cancelled", time.Now())
			if name == "one is sent later" {
				c.cancelSent(id)
			}
			violations := c.recordedViolations()
			is.Equal(len(violations) == 0, tc.allowed)
			if !tc.allowed {
				is.True(strings.Contains(violations[0], "nobody cancelled it"))
			}
		})
	}
}

// A start long after an acknowledged cancellation is a violation; after one that may not have been carried out it is not.
func TestOnlyAcknowledgedCancellationsForbidStarts(t *testing.T) {
	is := is.New(t)
	for status, violations := range map[int]int{http.StatusOK: 1, 0: 0} {
		c := newSoakChecker()
		c.jobSubmitted("j", 1, false)
		c.cancelSent("j")
		c.cancelAnswered("j", status)
		if j := c.jobs["j"]; !j.cancelledAt.IsZero() {
			j.cancelledAt = j.cancelledAt.Add(-2 * soakCancelBound)
		}
		c.taskStarted(soakRequest{Task: "j.0.0.0", Run: 1}, "i-0", false)
		is.Equal(len(c.recordedViolations()), violations)
	}
}
