package dispatch

import "time"

// clockRounding is how much two readings of one clock may differ by the way they are rounded.
const clockRounding = 10 * time.Millisecond

// isOfLaterIncarnation reports whether a reading of the worker's clock is of a later incarnation,
// whose clock starts anew at 0. before is the reading that was known when the request was sent: a
// response to it can't be older, however late it is read. The worker may be reached under the id
// of the incarnation that has ended.
func isOfLaterIncarnation(clockMs, before int64) bool {
	return clockMs > 0 && clockMs+clockRounding.Milliseconds() < before
}

// handleStartInLaterIncarnation handles that a later incarnation of the worker has confirmed the
// start of a run. The task is not started elsewhere before that incarnation has reported the run,
// which is then adopted, or its lease has certainly expired.
func (p *pool) handleStartInLaterIncarnation(r *run, now time.Time) {
	p.d.Logger.Warn("start confirmed by a later incarnation", logRun(r))
	if !r.worker.lost {
		p.removeWorker(r.worker, lossEnded, "its clock has started anew")
	}
	t := r.task
	if t == nil || t.done || t.run != nil {
		return
	}
	longestLease := time.Duration(float64(p.d.Timing.MaxLease)/minClockRate) + leaseExpiryMargin
	t.notBefore = latestOf(t.notBefore, now.Add(longestLease))
}
