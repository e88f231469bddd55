package connlimit

import "time"

// Limits bounds the connections of a Listener.
type Limits struct {
	Connections int
	// Reserved is how many of them are kept for the connections that Reserve tells; 0: none.
	Reserved int
	// KeepUsed is the time after the last request of a connection during which it is not closed for a new one, which
	// is refused instead; 0: it may be closed at any time. A connection without a request yet may be closed in any
	// case, so that silent ones don't keep others out.
	KeepUsed time.Duration
}

// maxRetryAfter is the longest Retry-After of a refusal, in seconds, while connections are kept.
const maxRetryAfter = 3

// SetLimits replaces the limits. Connections beyond a lower limit are closed as new ones arrive.
func (l *Listener) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// retryAfter returns the Retry-After of the next refusal, in seconds. Refusals that are frequent by design are
// spread.
func (l *Listener) retryAfter() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.KeepUsed == 0 {
		return 1
	}
	return 1 + int(l.refused.Count()%maxRetryAfter)
}
