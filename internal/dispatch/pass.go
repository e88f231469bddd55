package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a unit with its place in a pass.
type ranked struct {
	unit *unit
	rank rank
}

// passState is what one pass has found out.
type passState struct {
	now  time.Time
	seen *forecast
}

// forecast is made once, from the state at its first use.
func (s *passState) forecast(workers []*worker) *forecast {
	if s.seen == nil {
		s.seen = newForecast(workers, s.now)
	}
	return s.seen
}

// pass places what can be placed, in the order of rank.
func (p *pool) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.d.authority.left() <= 0 {
		return
	}
	now := time.Now()
	nowUnixMs := p.d.nowUnixMs()
	state := &passState{now: now}
	for _, one := range p.order(now, nowUnixMs) {
		p.serve(one.unit, state)
	}
}

// order returns the units that have something to place, or advice to ask for.
func (p *pool) order(now time.Time, nowUnixMs int64) []ranked {
	var found []ranked
	for _, j := range p.jobs {
		for _, u := range j.units {
			if u.remaining == 0 {
				continue
			}
			if !u.ready(nowUnixMs) {
				p.askAhead(u, now, nowUnixMs)
				continue
			}
			if u.waits(now) {
				found = append(found, ranked{u, rankOf(u, now)})
			}
		}
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.unit.job.id, b.unit.job.id),
			cmp.Compare(a.unit.occurrence, b.unit.occurrence), cmp.Compare(a.unit.step, b.unit.step))
	})
	return found
}

// askAhead asks for advice so early that it is there when the unit gets ready.
func (p *pool) askAhead(u *unit, now time.Time, nowUnixMs int64) {
	if !u.needsAdvice(now) || u.advice.known != nil {
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), maxNamed/2)
	if nowUnixMs+cost.Milliseconds() < u.dueUnixMs() || !u.soonUnblocked(now, cost) {
		return
	}
	p.ask(u, p.workersToAsk(u, int(u.spec.GetCount()), now), now)
}

// soonUnblocked reports whether all that the unit waits for runs and should be
// done within the time.
func (u *unit) soonUnblocked(now time.Time, within time.Duration) bool {
	for _, number := range u.spec.GetDependsOn() {
		before := u.job.unit(u.occurrence, int(number))
		for _, t := range before.tasks {
			if t.done {
				continue
			}
			if t.run == nil || t.run.ordered.Add(before.estimate()-within).After(now) {
				return false
			}
		}
	}
	return true
}

// serve places the unit's waiting tasks, as far as there are workers with room.
func (p *pool) serve(u *unit, pass *passState) {
	now := pass.now
	waiting := u.pending(now)
	if len(waiting) == 0 {
		return // a gang with members that still run
	}
	candidates := p.candidates(u, now)
	var placed []placement
	if u.spec.GetGang() {
		placed = p.placeGang(u, waiting, candidates)
	} else {
		placed = p.placeEach(u, waiting, candidates)
	}
	if len(placed) > 0 {
		p.giveUpBooking(u)
		p.start(u, placed, now)
	}
	left := len(waiting) - len(placed)
	switch {
	case left == 0:
	case u.spec.GetGang():
		p.awaitRoom(u, left, pass)
	case u.needsAdvice(now):
		p.ask(u, p.workersToAsk(u, left, now), now)
	}
}

// awaitRoom lets a gang collect the room it needs. It asks about further workers
// while too few are known to be allowed, and for tickets once the room is about
// to be there.
func (p *pool) awaitRoom(u *unit, tasks int, pass *passState) {
	booked := p.book(u, tasks, pass)
	if !u.needsAdvice(pass.now) {
		return
	}
	switch {
	case booked:
		if missing := p.withoutTicket(u, tasks, pass.now); len(missing) > 0 {
			p.ask(u, missing, pass.now)
		}
	case p.knownCapacity(u, pass.now) < tasks:
		p.ask(u, p.unasked(u, maxNamed, tasks, pass.now), pass.now)
	}
}

// knownCapacity is how many of the unit's tasks the workers hold that are known
// to be allowed, if nothing else runs there.
func (p *pool) knownCapacity(u *unit, now time.Time) int {
	total := 0
	for _, t := range u.advice.granted {
		if p.eligible(t.worker, u, now) {
			total += u.limitPerWorker(t.worker, t.worker.capacity.times(u.size))
		}
	}
	return total
}

// possible returns the workers that the unit's policy is known to allow.
func (p *pool) possible(u *unit) []*worker {
	if u.job.queue.GetPolicy() == nil {
		return p.list
	}
	found := make([]*worker, len(u.advice.granted))
	for i, t := range u.advice.granted {
		found[i] = t.worker
	}
	return found
}

// candidates returns the workers that may run the unit's tasks now.
func (p *pool) candidates(u *unit, now time.Time) []candidate {
	var found []candidate
	if u.job.queue.GetPolicy() == nil {
		for _, w := range p.list {
			found = p.addCandidate(found, u, w, "", now)
		}
		return found
	}
	for _, t := range u.advice.granted {
		if t.validAt(now) {
			found = p.addCandidate(found, u, t.worker, t.value, now)
		}
	}
	return found
}

func (p *pool) addCandidate(found []candidate, u *unit, w *worker, ticket string, now time.Time) []candidate {
	if !w.free.fits(u.size) || !p.open(w, u, now) {
		return found
	}
	room := p.roomFor(w, u)
	if w.health.failures >= failuresToSetAside {
		room = min(room, 1)
	}
	if room <= 0 {
		return found
	}
	return append(found, candidate{worker: w, room: room, ticket: ticket})
}

// open reports whether the unit may start tasks on the worker now, if there is
// room.
func (p *pool) open(w *worker, u *unit, now time.Time) bool {
	return (w.bookedFor == nil || w.bookedFor == u) && p.eligible(w, u, now)
}

func (p *pool) eligible(w *worker, u *unit, now time.Time) bool {
	return !w.lost && w.usable(now) && w.hasLabel(u.spec.GetLabel())
}
