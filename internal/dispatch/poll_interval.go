package dispatch

import (
	"context"
	"math/rand/v2"
	"time"
)

// idlePollInterval returns the longest time between two polls of a worker without runs in a large deployment. Three fit
// into a lease.
func (t Timing) idlePollInterval() time.Duration { return t.leaseDuration() / 3 }

// idlePollSpread is the part of idlePollInterval by which it is shortened at random. After a takeover all workers are
// polled together, and they would be again in each interval.
const idlePollSpread = 0.2

// nextIdlePoll returns the time until the next poll of a worker without runs.
func (t Timing) nextIdlePoll() time.Duration {
	return time.Duration(float64(t.idlePollInterval()) * (1 - idlePollSpread*rand.Float64()))
}

// currentHoldSlots returns the slots of the polls.
func (d *Dispatcher) currentHoldSlots() *callSlots {
	if d.isLarge() {
		return d.largeHolds
	}
	return d.holdSlots
}

// maxFirstPolls is the number of workers that a leader of a large deployment asks for their runs at a time after
// its election.
//
// Load pattern: a leader that has just been elected, with thousands of workers. If it opens the connections to all of
// them at once, the heartbeats of the replicated log wait behind that work for longer than an election timeout, and
// the next leader does the same.
const maxFirstPolls = 48

// acquirePollSlots takes the slots of a poll of the worker and returns a function that releases them. It
// returns false if ctx ended first.
func (p *pool) acquirePollSlots(ctx context.Context, w *worker) (release func(), ok bool) {
	slots := p.d.currentHoldSlots()
	releaseFirst := func() {}
	if p.d.isLarge() && p.isFirstPoll(w) {
		if !p.d.firstPolls.acquire(ctx) {
			return nil, false
		}
		releaseFirst = p.d.firstPolls.release
	}
	if !slots.acquire(ctx) {
		releaseFirst()
		return nil, false
	}
	return func() {
		slots.release()
		releaseFirst()
	}, true
}

// isFirstPoll reports whether the worker has not been polled by this leader. A worker that does not answer is not
// counted again, so that silent ones don't hold up the others.
func (p *pool) isFirstPoll(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !w.synced && w.failedCalls == 0
}

// awaitPollDue waits until the worker has to be polled. It returns false if ctx ended first.
func (p *pool) awaitPollDue(ctx context.Context, w *worker) bool {
	for {
		pause := p.pollPause(w, time.Now())
		if pause <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-w.pollNow:
			timer.Stop()
		case <-timer.C:
			return true
		}
	}
}

// pollPause returns how long the next poll of the worker has to wait.
func (p *pool) pollPause(w *worker, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pollsAtIntervals(w) {
		return 0
	}
	return w.idlePollAt.Sub(now)
}

// pollsAtIntervals reports whether polls of the worker don't wait, and follow each other at intervals. That holds in a
// large deployment while the worker has nothing to report: polls only renew its lease, and in between its connection is
// free for orders. While a start request is in flight, the next poll waits for its response, which comes over that
// connection. The caller holds the lock.
func (p *pool) pollsAtIntervals(w *worker) bool {
	if !p.d.isLarge() || !w.synced || w.endsPending || w.failedCalls > 0 || w.predecessor != nil || p.isUnreconciled(w) {
		return false
	}
	for _, r := range w.runs {
		if r.phase != phaseStarting || r.unanswered || r.transferred || r.fence {
			return false
		}
	}
	return true
}

// wakePoll lets the next poll be considered again, after a change of the worker's runs.
func (w *worker) wakePoll() {
	select {
	case w.pollNow <- struct{}{}:
	default:
	}
}
