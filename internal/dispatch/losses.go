package dispatch

import (
	"slices"
	"time"

	"github.com/pistachioport/pistachioport/internal/clock"
)

// A leader that concludes without a committed end that a run is over may be a former one: its
// successor may have reached the worker, extended its leases, and adopted the run. So the
// task starts again only after a read-index round that began after the conclusion. If that
// succeeds, no successor existed before, and any later one finds the run gone.

// loss is what a leader has concluded to be over, until its leadership is confirmed.
type loss struct {
	task   *task  // of a run whose end was not reported; nil: a worker is lost
	worker string // id of a worker on which the previous leader may have started runs
	since  clock.Reading
}

// loseRun discards a run that is over without a reported end, and delays the next start of
// its task until the leadership is confirmed. The caller holds the lock.
func (p *pool) loseRun(r *run) {
	if r.sent && r.task != nil && !r.task.done {
		r.task.unconfirmedLosses++
		p.addLoss(loss{task: r.task})
	}
	p.discardRun(r)
}

// loseUnreconciled handles that a worker is lost, on which the previous leader may have started runs.
func (p *pool) loseUnreconciled(w *worker) {
	if p.isUnreconciled(w) {
		p.addLoss(loss{worker: w.id})
	}
}

func (p *pool) addLoss(l loss) {
	l.since = p.d.Clock.Read()
	p.losses = append(p.losses, l)
	p.d.requestRenewal()
}

// confirmLosses permits the starts of the tasks that were, or may have been, running on workers lost before a
// successful read-index round began.
func (p *pool) confirmLosses(roundStart clock.Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := 0
	for confirmed < len(p.losses) && p.losses[confirmed].since.Monotonic <= roundStart.Monotonic {
		if l := p.losses[confirmed]; l.task != nil {
			l.task.unconfirmedLosses--
			l.task.unit.unpark()
		} else {
			p.markReconciled(l.worker)
		}
		confirmed++
	}
	if confirmed > 0 {
		p.losses = slices.Delete(p.losses, 0, confirmed)
		p.requestPass()
	}
}

// requestRenewal triggers a renewal of the leader lease soon. It never blocks.
func (d *Dispatcher) requestRenewal() {
	select {
	case d.renewNow <- struct{}{}:
	default:
	}
}

// lossBatchDelay is how long losses are collected for one read-index round.
const lossBatchDelay = 5 * time.Millisecond

// renewUntil renews the leader lease whenever that is requested, until the time or the end of the
// term. It returns false if the term has ended.
func (d *Dispatcher) renewUntil(end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-d.renewNow:
		}
		if sleep(d.ctx, lossBatchDelay) != nil {
			return false
		}
		d.renewLease()
	}
}
