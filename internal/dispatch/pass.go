package dispatch

import (
	"cmp"
	"slices"
	"time"
)

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
	for _, u := range p.order(now, nowUnixMs) {
		p.serve(u, state)
	}
}

// order returns the units that have something to place, or advice to ask for.
func (p *pool) order(now time.Time, nowUnixMs int64) []*unit {
	var found []*unit
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
				u.rank = rankOf(u, now)
				if u.waitsSince.IsZero() {
					u.waitsSince = now
				}
				found = append(found, u)
			}
		}
	}
	slices.SortFunc(found, func(a, b *unit) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.job.id, b.job.id),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
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
	u.rank = rankOf(u, now)
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
		u.waitsSince = time.Time{}
		u.advice.misses = 0
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
	outcome := p.book(u, tasks, pass)
	p.logWait(u, tasks, outcome, pass)
	if !u.needsAdvice(pass.now) {
		return
	}
	switch outcome {
	case bookingHeld:
		if missing := p.withoutTicket(u, tasks, pass.now); len(missing) > 0 {
			p.ask(u, missing, pass.now)
		}
	case bookingNarrow:
		p.ask(u, p.unasked(u, maxNamed, tasks, pass.now), pass.now)
	}
}

// logWait tells from time to time why a gang waits.
func (p *pool) logWait(u *unit, tasks int, outcome bookingOutcome, pass *passState) {
	if pass.now.Sub(u.waitLogged) < waitLogInterval {
		return
	}
	u.waitLogged = pass.now
	booked, room := 0, 0
	if u.booking != nil {
		booked = len(u.booking.workers)
		for _, w := range u.booking.workers {
			room += p.roomFor(w, u)
		}
	}
	p.d.Logger.Info("gang waits", "step", u.name(), "tasks", tasks, "waited_ms", pass.now.Sub(u.waitsSince).Milliseconds(),
		"booking", bookingNames[outcome], "band", int(u.rank.band), "booked_workers", booked, "room_now", room,
		"allowed", len(u.advice.granted), "asking", u.advice.asking)
}

// waitLogInterval is the time between two lines about one waiting gang.
const waitLogInterval = 5 * time.Second

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
	if room <= 0 {
		return found
	}
	return append(found, candidate{worker: w, room: room, ticket: ticket})
}

// open reports whether the unit may start tasks on the worker now, if there is
// room.
func (p *pool) open(w *worker, u *unit, now time.Time) bool {
	if owner := w.bookedFor; owner != nil && !owner.booking.admits(u, owner, now) {
		return false
	}
	return p.eligible(w, u, now)
}

func (p *pool) eligible(w *worker, u *unit, now time.Time) bool {
	return !w.lost && w.usable(now) && w.hasLabel(u.spec.GetLabel())
}
