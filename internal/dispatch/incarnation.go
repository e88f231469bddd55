package dispatch

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
)

// The incarnations of a worker may share its id and address, and a request names no more than
// these. So a start may have been executed by a later incarnation than the one it was sent to, and the
// response does not tell. A list of runs does: it has the incarnation's birth. So does a clock that
// shows more than the time since the last list was asked for.

// predecessor is an incarnation of a worker that has ended, until the next one has listed which of
// its runs it executed itself.
type predecessor struct {
	worker *worker
	runs   []*run // those of its runs that it may have executed; they are with the next incarnation
	ended  time.Time
}

// clockRounding is how much two readings of one clock may differ by the way they are rounded.
const clockRounding = 10 * time.Millisecond

// hasAnswered reports whether a response that was read now, with the reading of a worker's clock, is
// certainly of the worker's incarnation: the clock of a later one has started at 0 after the poll
// was sent that this one has answered last.
func (w *worker) hasAnswered(clockMs int64, now clock.Reading) bool {
	elapsed := now.MaxElapsedSince(w.answeredPoll)
	return w.synced && clockMs > int64(float64((elapsed+clockRounding).Milliseconds())/minClockRate)
}

// isOtherIncarnation reports whether a list of runs is of another incarnation than the worker. The
// birth of a later one may be earlier, by a clock that was set back. The caller holds the lock.
func (w *worker) isOtherIncarnation(resp HoldResponse) bool {
	born := resp.BornUnixMs
	return (born > w.record.GetBornUnixMs() && w.record.GetBornUnixMs() > 0) || (born > 0 && w.listedBorn > 0 && born != w.listedBorn)
}

// nextRecord returns a record for a later incarnation of the worker that has not reported itself.
func nextRecord(former *apiv1.PoolWorker, bornUnixMs int64) *apiv1.PoolWorker {
	record := proto.CloneOf(former)
	record.BornUnixMs, record.Sequence, record.Draining, record.Gone = bornUnixMs, 0, false, false
	return record
}

// storedRecord returns the worker's record in the replicated table.
func (w *worker) storedRecord() *apiv1.PoolWorker {
	if w.stored != nil {
		return w.stored
	}
	return w.record
}

// replaceWorker replaces a worker whose incarnation has ended by the next one under the same id.
// All runs whose starts were sent move to that one: it may have executed them, or may still do so. Its
// first complete list of runs tells which ended with the former incarnation. The caller holds the lock.
//
// Until the next incarnation has reported itself, the table has the former one's record, so that a
// later leader waits for the worker as well.
func (p *pool) replaceWorker(w *worker, record *apiv1.PoolWorker, reported bool, reason string) {
	now := time.Now()
	p.detachWorker(w, reason, now)
	next := p.addWorker(record)
	if !reported {
		next.stored = w.storedRecord()
	}
	if record.GetBornUnixMs() < next.storedRecord().GetBornUnixMs() { // the table takes no report of it before
		p.d.forgetWorker(next.stored, 0)
	}
	// A deadline on the clock of the former incarnation is far ahead on that of the next one.
	next.recordLeaseGranted(now, p.d.Timing.longestLease())
	lateStarts := slices.Clone(w.lateStarts)
	next.predecessor = &predecessor{worker: w, runs: w.possibleRuns(), ended: w.endedBy(now)}
	transferred := 0
	for _, r := range slices.Collect(maps.Values(w.runs)) {
		if !r.sent || r.task == nil {
			p.discardRun(r)
			continue
		}
		transferred++
		w.detachRun(r)
		p.transferRun(r, next)
		if r.unanswered {
			next.recordLateStart(r, p.d.Timing)
		}
	}
	p.fenceLateStarts(lateStarts, next, now)
	p.d.Logger.Info("worker replaced", "worker", next.id, "born", record.GetBornUnixMs(), "reported", reported,
		"runs", transferred, "late_starts", len(lateStarts))
	p.requestPass()
}

// transferRun adds a run of a former incarnation to the next one. A stop that the former one has
// confirmed is sent again.
func (p *pool) transferRun(r *run, next *worker) {
	r.worker, r.located, r.absent, r.transferred = next, false, false, true
	next.addRun(r)
	if r.stopConfirmed {
		r.stopConfirmed = false
		p.d.spawn(func() { p.sendStop(r) })
	}
}

// settlePredecessor handles that the worker has listed all of its runs. It records the crash of the
// incarnation before, if any: those of them that moved here were not on the former one. The worker is
// lost if listed is nil; which incarnation had the runs is not known then, so the crash is
// attributed to nobody. The caller holds the lock.
func (p *pool) settlePredecessor(w *worker, listed map[runKey]bool) {
	if listed != nil {
		for key, r := range w.runs {
			r.absent = r.transferred && !listed[key]
		}
	}
	before := w.predecessor
	if before == nil {
		return
	}
	w.predecessor = nil
	if !before.worker.crashed(lossEnded) {
		return
	}
	runs := slices.DeleteFunc(before.runs, func(r *run) bool { return listed[r.key()] })
	c := p.crashUnder(before.worker, runs, before.ended)
	if listed == nil {
		c.attributed, c.alone = false, false
	}
	p.recordCrash(before.worker, c, before.ended)
}
