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

// pass places what can be placed, in the order of rank.
func (p *pool) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.d.authority.left() <= 0 {
		return
	}
	now := time.Now()
	nowUnixMs := p.d.nowUnixMs()
	reserved := make(map[*worker]bool)
	for _, one := range p.order(now, nowUnixMs) {
		p.serve(one.unit, reserved, now)
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
	if !u.needsAdvice(now) || u.advice.tickets != nil {
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), maxNamed/2)
	if nowUnixMs+cost.Milliseconds() < u.dueUnixMs() || !u.soonUnblocked(now, cost) {
		return
	}
	p.ask(u, p.namesFor(u, int(u.spec.GetCount()), now), now)
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
func (p *pool) serve(u *unit, reserved map[*worker]bool, now time.Time) {
	waiting := u.pending(now)
	if len(waiting) == 0 {
		return // a gang with members that still run
	}
	candidates := p.candidates(u, reserved, now)
	var placed []placement
	if u.spec.GetGang() {
		placed = p.placeGang(u, waiting, candidates)
	} else {
		placed = p.placeEach(u, waiting, candidates)
	}
	if len(placed) > 0 {
		p.start(u, placed, now)
	}
	left := len(waiting) - len(placed)
	switch {
	case left == 0:
	case u.spec.GetGang():
		p.awaitRoom(u, left, reserved, now)
	case u.needsAdvice(now):
		p.ask(u, p.namesFor(u, left, now), now)
	}
}

// awaitRoom asks for the tickets with which a gang could start soon, and keeps
// room for it as far as it may.
func (p *pool) awaitRoom(u *unit, tasks int, reserved map[*worker]bool, now time.Time) {
	keeps := p.reserve(u, tasks, reserved, now)
	if !u.needsAdvice(now) {
		return
	}
	names := p.namesFor(u, tasks, now)
	switch {
	case p.knownCapacity(u, now) < tasks:
		// Those that are known to be allowed would not do even if they were empty.
		p.ask(u, names, now)
	case keeps && len(names) > 0 && p.prospect(u, names, now) >= float64(tasks):
		p.ask(u, names, now)
	}
}

// knownCapacity is how many of the unit's tasks the workers hold that are known
// to be allowed, if nothing else runs there.
func (p *pool) knownCapacity(u *unit, now time.Time) int {
	total := 0
	for id := range u.advice.tickets {
		if w := p.workers[id]; w != nil && p.eligible(w, u, now) {
			total += capacity(w.record).times(u.size)
		}
	}
	return total
}

// prospect is the room that the unit should have if the policy service were
// asked about the workers named.
func (p *pool) prospect(u *unit, names []string, now time.Time) float64 {
	room := 0.0
	share := p.allowedShare(u.job.queue.GetName())
	for _, id := range names {
		if here := float64(p.roomFor(p.workers[id], u)); u.advice.allowed(id) {
			room += here
		} else {
			room += share * here
		}
	}
	for id := range u.advice.tickets {
		w := p.workers[id]
		if w == nil || !p.eligible(w, u, now) {
			continue
		}
		if _, ok := u.advice.valid(w, now); ok {
			room += float64(p.roomFor(w, u))
		}
	}
	return room
}

// candidates returns the workers that may run the unit's tasks now.
func (p *pool) candidates(u *unit, reserved map[*worker]bool, now time.Time) []candidate {
	var found []candidate
	for _, w := range p.workers {
		if reserved[w] || !w.free.fits(u.size) || !p.eligible(w, u, now) {
			continue
		}
		one := candidate{worker: w, room: p.roomFor(w, u)}
		if u.job.queue.GetPolicy() != nil {
			value, ok := u.advice.valid(w, now)
			if !ok {
				continue
			}
			one.ticket = value
		}
		if w.health.failures >= failuresToSetAside {
			one.room = min(one.room, 1)
		}
		if one.room > 0 {
			found = append(found, one)
		}
	}
	return found
}

func (p *pool) eligible(w *worker, u *unit, now time.Time) bool {
	return w.usable(now) && w.hasLabel(u.spec.GetLabel())
}

// reservableShare is the part of a pool's workers that waiting gangs may keep
// from later work.
const reservableShare = 0.5

// reserve keeps later units of the pass off the workers that a gang needs, so
// that small work does not take their room piece by piece forever. It reports
// whether these are enough.
func (p *pool) reserve(u *unit, tasks int, reserved map[*worker]bool, now time.Time) bool {
	var usable []*worker
	for _, w := range p.workers {
		known := u.job.queue.GetPolicy() == nil || u.advice.allowed(w.record.GetId())
		if known && !reserved[w] && p.eligible(w, u, now) {
			usable = append(usable, w)
		}
	}
	slices.SortFunc(usable, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free.cpu, a.free.cpu), cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
	limit := int(reservableShare * float64(len(p.workers)))
	for _, w := range usable {
		if tasks <= 0 || len(reserved) >= limit {
			break
		}
		reserved[w] = true
		tasks -= capacity(w.record).times(u.size)
	}
	return tasks <= 0
}
