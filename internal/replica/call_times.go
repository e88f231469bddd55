package replica

import (
	"slices"
	"sync"
	"time"
)

// callTimes is what a sender knows of its calls to one member. The zero value is ready for use. It is safe for
// concurrent use.
type callTimes struct {
	mu          sync.Mutex
	unanswered  []*openCall // oldest first
	respondedAt time.Time   // zero: never
	failure     string      // why the last finished call failed; empty: it succeeded
}

// openCall is a call in progress.
type openCall struct {
	begun time.Time
}

// begin records that a call begins. The caller passes the result to end.
func (c *callTimes) begin() *openCall {
	call := &openCall{begun: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = append(c.unanswered, call)
	return call
}

// end records that a call has ended. err is nil if it was answered.
func (c *callTimes) end(call *openCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = slices.DeleteFunc(c.unanswered, func(other *openCall) bool { return other == call })
	if err != nil {
		c.failure = err.Error()
		return
	}
	c.respondedAt, c.failure = time.Now(), ""
}

// callSummary describes the calls to one member at a point in time.
type callSummary struct {
	unanswered    int           // calls in progress
	waited        time.Duration // of the oldest call in progress
	sinceResponse time.Duration // negative: no call was answered yet
	failure       string        // why the last finished call failed; empty: it succeeded
}

func (c *callTimes) summary(now time.Time) callSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := callSummary{unanswered: len(c.unanswered), sinceResponse: -time.Millisecond, failure: c.failure}
	if len(c.unanswered) > 0 {
		summary.waited = now.Sub(c.unanswered[0].begun)
	}
	if !c.respondedAt.IsZero() {
		summary.sinceResponse = now.Sub(c.respondedAt)
	}
	return summary
}
