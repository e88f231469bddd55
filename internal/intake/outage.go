package intake

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// shortestRetry and longestRetry bound the time after which a caller should retry
	// while there is no leader. An election takes 0.4 s. Callers have a budget of 3 s and
	// retry four times: the last retry has to be near its end, but with time to be served.
	shortestRetry = 550 * time.Millisecond
	longestRetry  = 720 * time.Millisecond
	// retryGrowth is the retry time as a fraction of the outage so far.
	retryGrowth = 0.55
	// retryJitter is the fraction by which a retry time may be shorter, so that callers
	// that gave up together do not return together.
	retryJitter = 0.18
)

// leaderWait returns how long a call may wait for a leader after such an outage.
func leaderWait(outage time.Duration) time.Duration {
	return max(minLeaderWait, maxLeaderWait-outage)
}

// retryDelay returns when a caller should retry that is refused after such an outage.
// random is from 0 to 1.
func retryDelay(outage time.Duration, random float64) time.Duration {
	delay := min(max(time.Duration(retryGrowth*float64(outage)), shortestRetry), longestRetry)
	return time.Duration(float64(delay) * (1 - retryJitter*random))
}

// notRun returns the result of a call that had no effect for lack of a leader.
func (in *Intake) notRun(reason string) CallResult {
	return CallResult{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryDelay(in.outage(), rand.Float64())}
}

// outage returns the time since a leader last responded, or since this entry started if none
// has.
func (in *Intake) outage() time.Duration {
	return min(in.sinceLeaderContact(), time.Since(in.created))
}

// untilOutage returns a context that ends with ctx, or once no leader has responded to
// this entry for leaderContactTimeout. The cause is then that of a deadline, so that the
// client does not keep connections that may be dead.
func (in *Intake) untilOutage(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			left := leaderContactTimeout - in.sinceLeaderContact()
			if left <= 0 {
				cancel(context.DeadlineExceeded)
				return
			}
			timer := time.NewTimer(left)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}
