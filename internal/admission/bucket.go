package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. A job within the rate takes one token.
type bucket struct {
	tokens   float64
	rate     float64 // tokens a second
	burst    float64
	at       time.Time // of tokens
	promised time.Time // latest time at which a refused caller was told to come back
}

// refill adds the tokens of the time since the last call and applies a changed rate. A time
// before the last call adds none.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += b.rate * elapsed.Seconds()
		b.at = now
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) withinRate() bool { return b.tokens >= 1 }

// retryAfter returns when a refused caller should come back: when the bucket has a token that
// was not promised to an earlier one. Callers refused at the same time get times that follow
// each other at the bucket's rate.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	if b.rate <= 0 {
		return maxRateRetry
	}
	interval := seconds(1 / b.rate)
	free := now.Add(seconds((1 - b.tokens) / b.rate))
	if next := b.promised.Add(interval); next.After(free) {
		free = next
	}
	wait := free.Sub(now)
	if wait > maxRateRetry {
		return maxRateRetry // not promised, or the promises would run away from the bucket
	}
	b.promised = free
	return max(wait, MinRetry)
}

// seconds converts a number of seconds to a duration, up to the longest one.
func seconds(s float64) time.Duration {
	if s >= float64(math.MaxInt64)/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
