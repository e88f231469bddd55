package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// callTimesExpiry is how long after a call its duration says something about the next ones.
	callTimesExpiry = 5 * time.Second
	maxLatestCalls  = 4
)

// callTimes is what a sender knows of its calls to one member. The zero value is ready for use. It is safe for
// concurrent use.
type callTimes struct {
	mu          sync.Mutex
	unanswered  []*openCall    // oldest first
	respondedAt time.Time      // zero: never
	latest      []answeredCall // at most maxLatestCalls, by ascending begin
	failure     string         // why the last finished call failed; empty: it succeeded
}

// openCall is a call in progress.
type openCall struct {
	begun time.Time
}

// answeredCall is a call that was answered.
type answeredCall struct {
	begun time.Time
	took  time.Duration
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
	c.record(answeredCall{call.begun, c.respondedAt.Sub(call.begun)})
}

// record keeps the duration of an answered call. One that began before others that are answered already says nothing
// about the present: its connection was dead, or its receiver suspended.
func (c *callTimes) record(call answeredCall) {
	if n := len(c.latest); n > 0 && call.begun.Before(c.latest[n-1].begun) {
		return
	}
	c.latest = append(c.latest, call)
	if len(c.latest) > maxLatestCalls {
		c.latest = c.latest[1:]
	}
}

// typical returns how long calls take at present: the shortest time of the latest ones, since a receiver that was
// suspended answers several late. It returns false if none was answered lately, or the oldest one in progress has waited
// for longer than patience and more than twice as long.
func (c *callTimes) typical(now time.Time, patience time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.respondedAt) > callTimesExpiry {
		c.latest = nil
		return 0, false
	}
	shortest := slices.MinFunc(c.latest, func(a, b answeredCall) int { return cmp.Compare(a.took, b.took) }).took
	if len(c.unanswered) > 0 && c.respondedAt.Before(c.unanswered[0].begun) && now.Sub(c.unanswered[0].begun) > max(patience, 2*shortest) {
		return 0, false
	}
	return shortest, true
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
