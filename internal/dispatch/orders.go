package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// start places the tasks' runs on the workers and sends the orders. The caller
// holds the lock and has checked the room.
func (p *pool) start(u *unit, placed []placement, now time.Time) {
	number := int64(0)
	if u.spec.GetGang() {
		number = u.nextRun(p.d.term)
	}
	if !u.job.begun {
		u.job.begun = true
		p.d.Table.MarkBegun(u.job.id)
		p.d.counters.waitToOrder.Update(now.Sub(u.job.accepted).Milliseconds())
	}
	for _, one := range placed {
		own := number
		if own == 0 {
			own = u.nextRun(p.d.term)
		}
		r := &run{
			task: one.task, name: one.task.name().String(), number: own, worker: one.worker,
			size: u.size, phase: phaseOrdered, ordered: now, ticket: one.ticket,
		}
		one.task.run = r
		one.worker.runs[r.key()] = r
		one.worker.free.subtract(r.size)
		one.worker.health.started()
		p.d.counters.ordered.Inc(1)
		p.d.spawn(func() { p.sendStart(r, one.task.checkpoint) })
	}
}

// maxStartTries is how often a start is sent. The worker runs it once, however
// often it arrives.
const maxStartTries = 2

// sendStart sends the order until it is answered. One that gets no answer may
// still be carried out, so the run is stopped then.
func (p *pool) sendStart(r *run, checkpoint string) {
	for try := 1; ; try++ {
		order, ok := p.startOrder(r, checkpoint)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(p.d.ctx, startTimeout)
		begun := time.Now()
		reply, err := p.d.WorkerClient.Start(ctx, r.worker.record, order)
		cancel()
		if p.startAnswered(r, reply, err, begun, try) {
			return
		}
	}
}

func (p *pool) startOrder(r *run, checkpoint string) (StartRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.phase != phaseOrdered || r.worker.runs[r.key()] != r || p.d.ctx.Err() != nil {
		return StartRequest{}, false
	}
	now := time.Now()
	left := p.d.authority.left()
	deadline := r.worker.deadline(now, left)
	if deadline == 0 {
		p.vanishUnsent(r, "no confirmed authority")
		return StartRequest{}, false
	}
	r.worker.granted(now, left)
	return StartRequest{
		Task: r.name, Run: r.number, Payload: r.task.unit.job.spec.GetPayload(),
		Deadline: deadline, Token: p.d.term, Checkpoint: checkpoint, Ticket: r.ticket,
	}, true
}

// vanishUnsent frees a run whose order was not sent in this try. Tries before
// may still be carried out, so only a first try frees it at once.
func (p *pool) vanishUnsent(r *run, reason string) {
	if r.acked.IsZero() && r.reason == "" {
		p.d.Logger.Info("start not sent", logRun(r), "reason", reason)
		r.task.notBefore = time.Now().Add(tickInterval)
		p.vanish(r)
		return
	}
	p.stop(r, reason)
}

// startAnswered takes in the outcome of one try and reports whether it settles
// the order.
func (p *pool) startAnswered(r *run, reply Response, err error, begun time.Time, try int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	w := r.worker
	if w.runs[r.key()] != r || p.d.ctx.Err() != nil {
		return true
	}
	if err == nil && reply.Refusal == Accepted {
		w.learnClock(reply.ClockMs, now)
		w.refused = 0
		if r.phase == phaseOrdered {
			r.phase, r.acked = phaseActive, now
			p.d.counters.started.Inc(1)
			p.d.counters.startTime.Update(now.Sub(r.ordered).Milliseconds())
			p.d.Logger.Info("run started", logRun(r), "tries", try, "answer_ms", now.Sub(begun).Milliseconds())
		}
		return true
	}
	if r.phase != phaseOrdered {
		return true
	}
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		p.lose(w, "another life answered a start")
		return true
	case errors.Is(err, ErrNoListener) && try == 1:
		p.notStarted(r, "nothing listens", tickInterval)
		w.refused++
		return true
	case err != nil && try < maxStartTries:
		r.reason = "start unanswered"
		return false
	case err != nil:
		p.d.counters.unclearStarts.Inc(1)
		p.d.Logger.Warn("start unanswered", logRun(r), "tries", try, "error", err)
		p.stop(r, "start unanswered")
		return true
	}
	p.startRefused(r, reply, try, now)
	return true
}

// startRefused frees a run that the worker refused. If an earlier try got no
// answer, a refusal as superseded may stand for its run's end.
func (p *pool) startRefused(r *run, reply Response, try int, now time.Time) {
	p.d.counters.refusedStarts.Inc(1)
	r.worker.learnClock(reply.ClockMs, now)
	if reply.Refusal == RefusedSuperseded || try > 1 {
		p.d.Logger.Warn("start refused", logRun(r), "reason", string(reply.Refusal), "tries", try)
		p.stop(r, "start refused after an unanswered try")
		return
	}
	pause := time.Duration(0)
	switch reply.Refusal {
	case RefusedUnhealthy:
		r.worker.health.refused(now)
	case RefusedInvalidTicket:
		if t := r.task.unit.advice.known[r.worker]; t != nil {
			t.expires = time.Time{}
		}
	case RefusedNoCapacity:
		r.worker.health.refused(now)
		pause = tickInterval
	default:
		pause = tickInterval
	}
	p.notStarted(r, string(reply.Refusal), pause)
}

// notStarted frees a run that certainly never began and never will.
func (p *pool) notStarted(r *run, reason string, pause time.Duration) {
	p.d.Logger.Warn("start refused", logRun(r), "reason", reason)
	r.worker.health.probing = false
	r.task.notBefore = time.Now().Add(pause)
	u := r.task.unit
	p.vanish(r)
	if u.spec.GetGang() {
		p.stopUnit(u, "a gang's member was refused")
	}
	p.wake()
}

// stopUnit stops all runs of a unit.
func (p *pool) stopUnit(u *unit, reason string) {
	for _, t := range u.tasks {
		if t.run != nil {
			p.stop(t.run, reason)
		}
	}
}

// stop tells a worker to end a run. The run keeps its room until then. The
// caller holds the lock.
func (p *pool) stop(r *run, reason string) {
	if r.phase == phaseStopping || r.worker.runs[r.key()] != r {
		return
	}
	r.phase, r.reason = phaseStopping, reason
	p.d.counters.stops.Inc(1)
	p.d.Logger.Info("run stopped", logRun(r), "reason", reason)
	p.d.spawn(func() { p.sendStop(r) })
}

// stopRetry is the pause between two tries of a stop.
const stopRetry = 150 * time.Millisecond

// sendStop repeats the order until the worker confirms it. From then on it
// refuses the run, so that what it lists afterwards is certain.
func (p *pool) sendStop(r *run) {
	order := StopRequest{Task: r.name, Run: r.number, Token: p.d.term}
	for p.d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(p.d.ctx, stopTimeout)
		reply, err := p.d.WorkerClient.Stop(ctx, r.worker.record, order)
		cancel()
		p.mu.Lock()
		if r.worker.runs[r.key()] != r {
			p.mu.Unlock()
			return
		}
		if errors.Is(err, ErrOtherIncarnation) {
			p.lose(r.worker, "another life answered a stop")
		}
		if err == nil && reply.Refusal == Accepted {
			r.stopped, r.acked = true, time.Now()
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if sleep(p.d.ctx, stopRetry) != nil {
			return
		}
	}
}
