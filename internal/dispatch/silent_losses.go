package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// silentLosses holds, by id, workers that were lost because they were silent, with the runs that
// may have crashed them and those that a later incarnation may execute. If another incarnation
// reports later, the worker has crashed, for whatever cause: behind a cut the two can't be told
// apart, so such a crash is attributed to nobody.
type silentLosses map[string]silentLoss

// silentLoss is the loss of one incarnation of a worker.
type silentLoss struct {
	bornUnixMs int64
	at         time.Time
	records    []crashRecord
	lateStarts []*run
}

// maxSilentLoss is how long a silent worker may take to come back so that its runs are suspected.
const maxSilentLoss = time.Minute

// add remembers the loss of a worker, and forgets those of long ago.
func (s silentLosses) add(w *worker, c crash, lateStarts []*run, now time.Time) {
	for id, loss := range s {
		if now.Sub(loss.at) > maxSilentLoss {
			delete(s, id)
		}
	}
	c.attributed = false
	loss := silentLoss{bornUnixMs: w.record.GetBornUnixMs(), at: now, lateStarts: lateStarts}
	for _, r := range c.suspects {
		if r.task != nil && !r.task.done {
			loss.records = append(loss.records, newCrashRecord(r, c, now))
		}
	}
	if len(loss.records) > 0 || len(lateStarts) > 0 {
		s[w.id] = loss
	}
}

// take returns the loss of the incarnation, or of an earlier one of the worker, and forgets it.
func (s silentLosses) take(record *apiv1.PoolWorker, now time.Time) (silentLoss, bool) {
	loss, found := s[record.GetId()]
	delete(s, record.GetId())
	return loss, found && record.GetBornUnixMs() >= loss.bornUnixMs && now.Sub(loss.at) <= maxSilentLoss
}

// resumeAfterSilence handles that a worker is back that was lost because it was silent, or its
// next incarnation. The caller holds the lock.
func (p *pool) resumeAfterSilence(w *worker, now time.Time) {
	loss, found := p.silentLosses.take(w.record, now)
	switch {
	case !found:
	case loss.bornUnixMs == w.record.GetBornUnixMs(): // it rejects the starts, as their leases have expired
		w.lateStarts = loss.lateStarts
	default:
		if len(loss.records) > 0 {
			p.d.spawn(func() { p.commitCrash(loss.records) })
		}
		p.fenceLateStarts(loss.lateStarts, w, now)
	}
}
