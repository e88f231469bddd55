package dispatch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// advice is what the policy service said about a unit. Which workers it allows
// does not change; the tickets expire.
type advice struct {
	asking  int
	retryAt time.Time
	tickets map[string]ticket // by worker id
	denied  map[string]bool
}

type ticket struct {
	value   string
	born    int64 // of the worker's life for which it holds
	expires time.Time
}

const (
	// ticketMargin is the part of a ticket's validity left for its way here
	// and for the start's way to the worker.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the pause between two calls for one unit.
	adviceRetry = 100 * time.Millisecond
	// adviceSlack is how much later than its stated time an answer may come.
	adviceSlack = 2 * time.Second
	// maxNamed is how many workers one call may name, as the platform states it.
	maxNamed = 100
	// spareChoice is how many times the room needed is looked for, since other
	// work takes part of it meanwhile.
	spareChoice = 2.5
	// spareRoom is the same for workers that are known to be allowed.
	spareRoom = 1.3
	// roomNow and roomSoon weigh a worker's free room against the room that it
	// has when nothing runs there, by the time the answer comes.
	roomNow, roomSoon = 0.7, 0.1
	// fewestNamed gives the placement a choice even for one small task.
	fewestNamed = 8
	// maxAsking bounds the calls under way for one unit.
	maxAsking = 1
)

func (a *advice) valid(w *worker, now time.Time) (string, bool) {
	t, ok := a.tickets[w.record.GetId()]
	if !ok || t.born != w.record.GetBornUnixMs() || !now.Before(t.expires) {
		return "", false
	}
	return t.value, true
}

// allowed reports whether the policy allows the worker, as far as known.
func (a *advice) allowed(id string) bool {
	_, ok := a.tickets[id]
	return ok
}

// adviceCost is the time that a call takes at the policy service.
func adviceCost(policy *apiv1.PlacementPolicy, names int) time.Duration {
	ms := policy.GetDecisionMs() + float64(names)*policy.GetPerWorkerMs()
	return time.Duration(ms * float64(time.Millisecond))
}

// needsAdvice reports whether a call for the unit should be made now.
func (u *unit) needsAdvice(now time.Time) bool {
	return u.job.queue.GetPolicy() != nil && u.advice.asking < maxAsking && now.After(u.advice.retryAt)
}

// namesFor chooses the workers to ask about: those that are known to be allowed
// and have room but no valid ticket, or, if the room of the allowed ones is not
// enough, further ones with the most room.
func (p *pool) namesFor(u *unit, tasks int, now time.Time) []string {
	var allowed, unasked []*worker
	for _, w := range p.workers {
		switch {
		case !p.eligible(w, u, now) || u.advice.denied[w.record.GetId()]:
		case u.advice.allowed(w.record.GetId()):
			allowed = append(allowed, w)
		default:
			unasked = append(unasked, w)
		}
	}
	names, room := p.renewals(u, allowed, tasks, now)
	if room >= tasks {
		return names
	}
	return p.addUnasked(u, names, unasked, float64(tasks-room))
}

// renewals returns the allowed workers whose tickets have to be renewed so that
// the tasks have room, and the room of all allowed ones.
func (p *pool) renewals(u *unit, allowed []*worker, tasks int, now time.Time) (names []string, room int) {
	p.sortByRoom(allowed, u)
	for _, w := range allowed {
		if float64(room) >= spareRoom*float64(tasks) || len(names) >= maxNamed {
			break
		}
		here := p.roomFor(w, u)
		if here == 0 {
			break
		}
		room += here
		if _, ok := u.advice.valid(w, now); !ok {
			names = append(names, w.record.GetId())
		}
	}
	return names, room
}

// addUnasked adds workers until the share of them that the policy usually
// allows has room enough.
func (p *pool) addUnasked(u *unit, names []string, unasked []*worker, tasks float64) []string {
	p.sortByRoom(unasked, u)
	share := p.allowedShare(u.job.queue.GetName())
	found := 0.0
	for i, w := range unasked {
		if len(names) >= maxNamed || (found >= spareChoice*tasks && i >= fewestNamed) {
			break
		}
		names = append(names, w.record.GetId())
		found += share * (roomNow*float64(p.roomFor(w, u)) + roomSoon*float64(capacity(w.record).times(u.size)))
	}
	return names
}

func (p *pool) sortByRoom(workers []*worker, u *unit) {
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(p.roomFor(b, u), p.roomFor(a, u)), cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
}

// roomFor is how many of the unit's tasks fit on the worker at present.
func (p *pool) roomFor(w *worker, u *unit) int {
	room := w.free.times(u.size)
	if limit := int(u.spec.GetMaxPerWorker()); limit > 0 {
		room = min(room, max(0, limit-w.ofUnit(u)))
	}
	return room
}

// ask calls the policy service for the unit. The caller holds the lock.
func (p *pool) ask(u *unit, names []string, now time.Time) {
	if len(names) == 0 {
		u.advice.retryAt = now.Add(adviceRetry)
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), len(names))
	address := p.d.advisors.pick(now, cost)
	u.advice.asking++
	p.d.counters.adviceAsked.Inc(1)
	p.d.counters.adviceNames.Inc(int64(len(names)))
	lives := make(map[string]int64, len(names))
	for _, id := range names {
		lives[id] = p.workers[id].record.GetBornUnixMs()
	}
	p.d.spawn(func() {
		ctx, cancel := context.WithTimeout(p.d.ctx, cost+adviceSlack)
		defer cancel()
		answer, err := p.d.Advisor.Advise(ctx, address, u.name(), names)
		p.advised(u, address, lives, answer, err, now)
	})
}

// advised takes in the policy service's answer.
func (p *pool) advised(u *unit, address string, lives map[string]int64, answer *apiv1.AdviseResponse, err error, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	u.advice.asking--
	u.advice.retryAt = now.Add(adviceRetry)
	if err != nil || answer.GetBusy() {
		p.d.counters.adviceFailed.Inc(1)
		if p.d.ctx.Err() == nil {
			p.d.Logger.Warn("no advice", "step", u.name(), "advisor", address, "busy", answer.GetBusy(), "error", err)
		}
		p.d.advisors.callFailed(address, now)
		return
	}
	p.d.counters.adviceTime.Update(now.Sub(asked).Milliseconds())
	if u.advice.tickets == nil {
		u.advice.tickets = make(map[string]ticket)
		u.advice.denied = make(map[string]bool)
	}
	validity := time.Duration(u.job.queue.GetPolicy().GetValidityMs()) * time.Millisecond
	for _, t := range answer.GetTickets() {
		u.advice.tickets[t.GetWorker()] = ticket{
			value: t.GetTicket(), born: lives[t.GetWorker()], expires: now.Add(validity - ticketMargin),
		}
	}
	for id := range lives {
		if !u.advice.allowed(id) {
			u.advice.denied[id] = true
		}
	}
	p.learnShare(u.job.queue.GetName(), len(lives), len(answer.GetTickets()))
	p.wake()
}

const (
	firstShare  = 0.5  // allowed share before any answer
	shareWeight = 0.05 // of one answer in the running mean
)

// allowedShare is the mean share of the named workers that the policy of a
// queue allows.
func (p *pool) allowedShare(queue string) float64 {
	if share, ok := p.shares[queue]; ok {
		return math.Max(share, shareWeight)
	}
	return firstShare
}

func (p *pool) learnShare(queue string, asked, allowed int) {
	share := float64(allowed) / float64(max(1, asked))
	p.shares[queue] = p.allowedShare(queue)*(1-shareWeight) + share*shareWeight
}
