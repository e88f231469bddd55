package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// minAttemptTimeout and maxAttemptTimeout bound the time after which a start or stop
	// request without a response is sent again. The minimum is several round trips between
	// regions; the maximum applies until response times are known.
	minAttemptTimeout = 120 * time.Millisecond
	maxAttemptTimeout = 600 * time.Millisecond
	// maxStartTime bounds the time for all attempts to send a start request.
	maxStartTime = 1200 * time.Millisecond
)

// retransmissionTimer estimates after what time a request that got no response is sent
// again: the smoothed response time and four times its deviation, as TCP does (RFC 6298).
// Requests are idempotent, so sending one again is safe; a request without a response may
// still be executed.
//
// Load pattern: workers that leave some requests unanswered, or answers that are lost. A
// long timeout makes every such task late; a short fixed one doubles the load when workers
// or the leader are slow.
//
// Only observe needs a lock of the caller.
type retransmissionTimer struct {
	smoothed, deviation time.Duration
	current             atomic.Int64 // timeout, in ns; 0: nothing observed
}

// Weights of a new observation in the moving averages (RFC 6298).
const (
	responseTimeWeight = 8 // 1/8
	deviationWeight    = 4 // 1/4
	deviationFactor    = 4
)

// observe records the response time of a request that was sent once.
func (t *retransmissionTimer) observe(responseTime time.Duration) {
	if t.current.Load() == 0 {
		t.smoothed, t.deviation = responseTime, responseTime/2
	} else {
		t.deviation += ((t.smoothed - responseTime).Abs() - t.deviation) / deviationWeight
		t.smoothed += (responseTime - t.smoothed) / responseTimeWeight
	}
	t.current.Store(int64(min(max(t.smoothed+deviationFactor*t.deviation, minAttemptTimeout), maxAttemptTimeout)))
}

// timeout returns how long to wait for a response.
func (t *retransmissionTimer) timeout() time.Duration {
	if current := t.current.Load(); current != 0 {
		return time.Duration(current)
	}
	return maxAttemptTimeout
}
