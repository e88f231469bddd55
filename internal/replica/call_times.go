package replica

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimesExpiry is how long after a call its duration says something about the next ones.
	callTimesExpiry = 5 * time.Second
	maxLatestCalls  = 4
	// responseBunching is how many times closer together than their calls responses come after a suspension.
	responseBunching = 4
)

// callTimes is what a sender knows of its calls to one member. The zero value is ready for use. It is safe for
// concurrent use.
type callTimes struct {
	mu          sync.Mutex
	unanswered  []*openCall    // oldest first
	respondedAt time.Time      // zero: never
	isAbsent    bool           // the latest call to end found no process of the member
	latest      []answeredCall // at most maxLatestCalls, by ascending begin
	failure     string         // why the last finished call failed; empty: it succeeded
	diskLost    bool           // another incarnation responded to the last finished call
}

// openCall is a call in progress.
type openCall struct {
	begun  time.Time
	size   int // of its messages, in bytes
	cancel context.CancelFunc
}

// answeredCall is a call that was answered.
type answeredCall struct {
	begun, ended time.Time
}

func (c answeredCall) took() time.Duration { return c.ended.Sub(c.begun) }

// begin records that a call of messages of the given size begins now. The caller passes the result to end.
func (c *callTimes) begin(now time.Time, size int, cancel context.CancelFunc) *openCall {
	call := &openCall{begun: now, size: size, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = append(c.unanswered, call)
	return call
}

// end records that a call ends now. err is nil if it was answered.
func (c *callTimes) end(now time.Time, call *openCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = slices.DeleteFunc(c.unanswered, func(other *openCall) bool { return other == call })
	c.diskLost = isOtherIncarnation(err)
	if err != nil {
		c.failure = err.Error()
		c.isAbsent = c.diskLost || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	c.record(answeredCall{call.begun, now})
	c.respondedAt, c.failure, c.isAbsent = now, "", false
}

// cancelOldest cancels the oldest calls in progress while all of them hold more than the given number of bytes.
func (c *callTimes) cancelOldest(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := 0
	for _, call := range slices.Backward(c.unanswered) {
		if held += call.size; held > bytes {
			call.cancel()
		}
	}
}

// record keeps an answered call, unless one that began later is answered already. Calls whose responses come much closer
// together than they began waited for a suspended receiver: only the last of them tells how long calls take.
func (c *callTimes) record(call answeredCall) {
	if n := len(c.latest); n > 0 {
		last := c.latest[n-1]
		switch began := call.begun.Sub(last.begun); {
		case began < 0:
			return
		case began > callTimesExpiry:
			c.latest = nil
		case call.ended.Sub(last.ended) < began/responseBunching:
			c.latest = c.latest[:n-1]
		}
	}
	c.latest = append(c.latest, call)
	if len(c.latest) > maxLatestCalls {
		c.latest = c.latest[1:]
	}
}

// typical returns how long calls take at present, the median of the latest ones. It returns false if none was answered
// lately, if the process is gone, or if the oldest call in progress has waited for longer than patience and for more than
// twice the median.
func (c *callTimes) typical(now time.Time, patience time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isAbsent || now.Sub(c.respondedAt) > callTimesExpiry {
		return 0, false
	}
	sorted := slices.SortedFunc(slices.Values(c.latest), func(a, b answeredCall) int { return cmp.Compare(a.took(), b.took()) })
	usual := sorted[len(sorted)/2].took()
	if len(c.unanswered) > 0 && c.respondedAt.Before(c.unanswered[0].begun) && now.Sub(c.unanswered[0].begun) > max(patience, 2*usual) {
		return 0, false
	}
	return usual, true
}

// isGone reports whether the latest call to end found no process of the member.
func (c *callTimes) isGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAbsent
}

// waited returns for how long the oldest call in progress has waited, or false if there is none.
func (c *callTimes) waited(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) == 0 {
		return 0, false
	}
	return now.Sub(c.unanswered[0].begun), true
}

// callSummary describes the calls to one member at a point in time.
type callSummary struct {
	unanswered    int           // calls in progress
	waited        time.Duration // of the oldest call in progress
	sinceResponse time.Duration // negative: no call was answered yet
	failure       string        // why the last finished call failed; empty: it succeeded
	diskLost      bool          // another incarnation responds at the member's address
}

func (c *callTimes) summary(now time.Time) callSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := callSummary{unanswered: len(c.unanswered), sinceResponse: -time.Millisecond, failure: c.failure, diskLost: c.diskLost}
	if len(c.unanswered) > 0 {
		summary.waited = now.Sub(c.unanswered[0].begun)
	}
	if !c.respondedAt.IsZero() {
		summary.sinceResponse = now.Sub(c.respondedAt)
	}
	return summary
}
