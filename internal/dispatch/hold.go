package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	holdRetry = 100 * time.Millisecond // backoff after a failed Hold call
	// minBusyHoldWait is the shortest long poll to a worker with runs; shorter ones would
	// cost more than an answer that comes earlier is worth.
	minBusyHoldWait = 700 * time.Millisecond
	// unconfirmedStopWait is the long poll to a worker that has not confirmed a stop yet. It is several
	// round trips between regions.
	unconfirmedStopWait = 50 * time.Millisecond
	// holdSlack is how much longer than the expected end of a run a poll waits, so that
	// most ends arrive within it.
	holdSlack = 300 * time.Millisecond
	// maxCallsPerHold is the number of calls in the slot of one poll: a report, over a new connection, and an
	// acknowledgement.
	maxCallsPerHold = 2
	// noListenerCallLimit is the number of consecutive calls that find no listener at the
	// worker's address after which it has probably crashed. One that has never answered is removed.
	noListenerCallLimit = 2
)

// holdLoop calls Hold, which renews the worker's leases and returns its active
// and ended runs, until the worker is removed or ctx ends.
func (p *pool) holdLoop(ctx context.Context, w *worker) {
	select {
	case <-p.d.jobsLoaded:
	case <-ctx.Done():
		return
	}
	for proceed := true; proceed; {
		completed := p.d.contain("a report of a worker", w.id, func() { proceed = p.holdOnce(ctx, w) })
		if !completed && sleep(ctx, panicBackoff) != nil {
			return
		}
	}
}

// holdOnce makes one Hold call and handles its response. It returns false once the worker
// is removed or ctx has ended.
func (p *pool) holdOnce(ctx context.Context, w *worker) (proceed bool) {
	resp, sentAt, err := p.hold(ctx, w)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		return p.handleHoldError(w, err) && sleep(ctx, holdRetry) == nil
	}
	ends, ok := p.handleHoldResponse(w, sentAt, resp)
	if !ok {
		return false
	}
	if resp.Fenced || (len(ends) > 0 && !p.commitEnds(ctx, w, ends)) {
		return sleep(ctx, holdRetry) == nil
	}
	return true
}

// hold makes one Hold call once there is a slot for it, and another one if the first could not acknowledge
// ends: then its response has shown which incarnation the connection leads to.
//
// Load pattern: a leader that is late. A report that is asked for before an acknowledgement because the last one
// is old doubles the polls of such a leader.
func (p *pool) hold(ctx context.Context, w *worker) (resp HoldResponse, sentAt time.Time, err error) {
	if !p.awaitPollDue(ctx, w) {
		return HoldResponse{}, time.Time{}, ctx.Err()
	}
	release, ok := p.acquirePollSlots(ctx, w)
	if !ok {
		return HoldResponse{}, time.Time{}, ctx.Err()
	}
	defer release()
	for range maxCallsPerHold {
		sentAt = time.Now()
		resp, err = p.callHold(ctx, w, p.nextHoldRequest(w, sentAt))
		if err != nil || !resp.Unacknowledged || resp.Fenced || p.isReplaced(w, resp) {
			break
		}
		p.d.counters.reportsBeforeAck.Inc(1)
	}
	return resp, sentAt, err
}

// callHold makes one Hold call.
func (p *pool) callHold(ctx context.Context, w *worker, req HoldRequest) (HoldResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond+p.holdTimeoutMargin())
	defer cancel()
	p.d.counters.holds.Inc(1)
	resp, err := p.d.WorkerClient.Hold(ctx, p.recordOf(w), req)
	if err != nil {
		p.d.counters.holdsFailed.Inc(1)
	}
	return resp, err
}

// isReplaced reports whether another incarnation than the worker has answered.
func (p *pool) isReplaced(w *worker, resp HoldResponse) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return w.isOtherIncarnation(resp)
}

// holdTimeoutMargin returns how much longer than its long poll a Hold call may take.
func (p *pool) holdTimeoutMargin() time.Duration {
	return min(max(2*p.responseTimer.timeout(), minHoldTimeoutMargin), maxHoldTimeoutMargin)
}

// nextHoldRequest returns the next request for the worker and records the lease
// that it grants.
func (p *pool) nextHoldRequest(w *worker, now time.Time) HoldRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.lastPoll = p.d.Clock.Read()
	req := HoldRequest{Token: p.d.term}
	if w.failedCalls == 0 && w.ackCursor > w.ackedCursor {
		req.Cursor = w.ackCursor
	}
	w.sentCursor = req.Cursor
	// The lease of a worker that did not respond is not renewed: a request without
	// a response may be executed late, and the end of the lease would never be
	// certain.
	if remaining := p.d.leaderLease.remaining(); w.failedCalls == 0 {
		if req.Deadline = w.leaseDeadline(now, remaining); req.Deadline > 0 {
			w.recordLeaseGranted(now, remaining)
		}
	}
	w.idlePollAt = now.Add(p.d.Timing.nextIdlePoll())
	if w.synced && !w.endsPending && w.failedCalls == 0 && !p.pollsAtIntervals(w) {
		req.WaitMs = p.holdWait(w, now).Milliseconds()
	}
	return req
}

// holdWait returns the length of a long poll to the worker. Three fit into a lease, also
// if there are more workers than slots and each has to wait for its turn.
//
// Load pattern: workers that leave some requests unanswered. The ends of runs are learned
// only once such a poll has timed out, so it ends soon after a run is expected to end.
func (p *pool) holdWait(w *worker, now time.Time) time.Duration {
	wait := min(maxHoldWait, p.d.Timing.leaseDuration()/3)
	if next, ok := w.nextExpectedEnd(now); ok {
		wait = min(wait, max(next.Sub(now)+holdSlack, minBusyHoldWait))
	}
	if workers, limit := p.d.workerCount.Load(), p.d.currentHoldSlots().limit; workers > limit {
		wait = wait * time.Duration(limit) / time.Duration(workers)
	}
	return min(wait, w.stopWait())
}

// stopWait returns how long a poll may wait for the sake of the runs that are being stopped. The end
// of one that the worker has executed ends the poll. Of any other the worker will list no end; it is certainly
// over if a report that is asked for after the stop was confirmed lacks it.
//
// Load pattern: many runs are preempted or belong to gangs that are stopped. Polls without a wait follow
// each other as fast as the worker answers, for as long as it takes to stop a run.
func (w *worker) stopWait() time.Duration {
	wait := maxHoldWait
	for _, r := range w.runs {
		if r.phase != phaseStopping || r.located {
			continue
		}
		if r.stopConfirmed {
			return 0
		}
		wait = unconfirmedStopWait
	}
	return wait
}

// handleHoldError handles a failed Hold call and reports whether to continue. It
// removes the worker if its incarnation has ended or its leases have expired.
//
// That nothing listens at its address is no proof that the incarnation has ended: a link
// that resets connections looks the same, and the worker runs on behind it under its lease.
func (p *pool) handleHoldError(w *worker, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if w.synced && w.failedCalls == 0 {
		p.d.Logger.Warn("worker does not answer", "worker", w.id, "born", w.record.GetBornUnixMs(), "error", err, "runs", len(w.runs))
	}
	// A worker that has never answered this leader runs nothing of it. Its record may be of another writer.
	unheard := !w.synced && now.Sub(w.addedAt) > p.d.Timing.MaxLease
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		p.removeWorker(w, lossEnded, "another incarnation answers at its address")
		return false
	case errors.Is(err, ErrNoListener):
		p.handleRefusedConnection(w, now)
		unheard = unheard || (!w.synced && w.failedCalls >= noListenerCallLimit)
	default:
		w.failedCalls = max(w.failedCalls, 1)
	}
	if now.After(w.leaseEnd.Add(leaseExpiryMargin)) && (w.synced || unheard || w.leaving || len(w.runs) > 0 || p.isUnreconciled(w)) {
		// Nothing can be running there, and no request of this term can start
		// anything. The worker is added again when it reports.
		reason := "its leases expired"
		if !w.synced {
			reason = "it has not answered this leader"
		}
		p.removeWorker(w, lossSilent, reason)
		return false
	}
	return true
}

// isUnreconciled reports whether the previous leader may have started runs on the
// worker that are not known yet.
func (p *pool) isUnreconciled(w *worker) bool {
	_, ok := p.unreconciled[w.record.GetId()]
	return ok
}
