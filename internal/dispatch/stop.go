package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// stopUnit stops all runs of a unit. The caller holds the lock.
func (p *pool) stopUnit(u *unit, reason string) {
	for _, t := range u.tasks {
		if t.run != nil {
			p.stopRun(t.run, reason)
		}
	}
}

// stopRun tells the worker to end a run. The run occupies its resources until the
// worker reports its end. The caller holds the lock.
func (p *pool) stopRun(r *run, reason string) {
	if r.phase == phaseStopping || r.worker.runs[r.key()] != r {
		return
	}
	r.phase, r.reason = phaseStopping, reason
	r.worker.wakePoll()
	p.vacate(r)
	p.d.counters.runsStopped.Inc(1)
	p.d.Logger.Info("run stopped", logRun(r), "reason", reason)
	p.d.spawn(func() { p.sendStop(r) })
}

// Bounds of the exponential backoff of a stop request that got no response.
const (
	minStopRetry = 150 * time.Millisecond
	maxStopRetry = 600 * time.Millisecond
)

// stopRetry returns the time between an attempt to send a stop request, counted from 1, and
// the next one.
func stopRetry(attempt int) time.Duration {
	return min(minStopRetry<<min(attempt-1, 8), maxStopRetry)
}

// sendStop sends the stop request until the worker confirms it. From then on the
// worker refuses to start the run, so if a later report does not list the run, it
// is certain that it does not run.
func (p *pool) sendStop(r *run) {
	finished := false
	for attempt := 1; !finished; attempt++ {
		p.d.contain("a stop request", r.name, func() { finished = p.attemptStop(r) })
		if !finished && sleep(p.d.ctx, stopRetry(attempt)) != nil {
			return
		}
	}
}

// attemptStop sends the stop request once there is a slot for it, unless the run is over by
// then. It reports whether no further attempt is needed.
func (p *pool) attemptStop(r *run) (finished bool) {
	if !p.d.stopSlots.acquire(p.d.ctx) {
		return true
	}
	defer p.d.stopSlots.release()
	if !p.d.orderSlots.acquire(p.d.ctx) {
		return true
	}
	defer p.d.orderSlots.release()
	w, record := p.stopTarget(r)
	if w == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(p.d.ctx, p.responseTimer.timeout())
	defer cancel()
	p.d.counters.stopAttempts.Inc(1)
	req := StopRequest{Task: r.name, Run: r.number, Token: p.d.term}
	resp, err := p.d.WorkerClient.Stop(ctx, record, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.worker.runs[r.key()] != r {
		return true
	}
	if r.worker != w { // only the incarnation that it was sent to rejects the run now
		return false
	}
	if errors.Is(err, ErrOtherIncarnation) {
		p.removeWorker(w, lossEnded, "another incarnation answered a stop request")
		return true
	}
	if err == nil && resp.Refusal == Accepted {
		r.stopConfirmed, r.confirmedAt = true, time.Now()
		return true
	}
	return false
}

// stopTarget returns the worker to which a stop request for the run has to be sent, with its
// record, or nil if that has reported the end of the run or is certain not to have it.
func (p *pool) stopTarget(r *run) (*worker, *apiv1.PoolWorker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.worker.runs[r.key()] != r {
		return nil, nil
	}
	return r.worker, r.worker.record
}
