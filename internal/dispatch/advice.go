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
	misses  int                 // answers in a row after which nothing could start
	known   map[*worker]*ticket // nil: the worker is denied
	granted []*ticket           // of the allowed workers
}

// ticket lets a unit's tasks start on a worker, for the life of that worker.
type ticket struct {
	worker  *worker
	value   string
	expires time.Time
}

func (t *ticket) validAt(at time.Time) bool { return t != nil && at.Before(t.expires) }

const (
	// ticketMargin is the part of a ticket's validity left for its way here
	// and for the start's way to the worker.
	ticketMargin = 150 * time.Millisecond
	// adviceRetry is the pause between two calls for one unit. It doubles as long
	// as nothing could start, since others took the room meanwhile.
	adviceRetry        = 100 * time.Millisecond
	longestAdviceRetry = time.Second
	maxAdviceMisses    = 4
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

// allowed reports whether the policy allows the worker, as far as known.
func (a *advice) allowed(w *worker) bool { return a.known[w] != nil }

// asked reports whether the policy service has been asked about the worker.
func (a *advice) asked(w *worker) bool {
	_, ok := a.known[w]
	return ok
}

// learn takes in the answer about the workers asked.
func (a *advice) learn(asked []*worker, values map[string]string, expires time.Time) {
	if a.known == nil {
		a.known = make(map[*worker]*ticket)
	}
	for _, w := range asked {
		value, ok := values[w.record.GetId()]
		t := a.known[w]
		switch {
		case ok && t != nil:
			t.value, t.expires = value, expires
		case ok:
			t = &ticket{worker: w, value: value, expires: expires}
			a.known[w] = t
			a.granted = append(a.granted, t)
		case t == nil:
			a.known[w] = nil
		}
	}
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

// workersToAsk chooses the workers to ask about for single tasks: those that are
// known to be allowed and have room but no valid ticket, or, if the room of the
// allowed ones is not enough, further ones with the most room.
func (p *pool) workersToAsk(u *unit, tasks int, now time.Time) []*worker {
	chosen, room := p.renewals(u, tasks, now)
	if room >= tasks {
		return chosen
	}
	return append(chosen, p.unasked(u, maxNamed-len(chosen), tasks-room, now)...)
}

// renewals returns the allowed workers whose tickets have to be renewed so that
// the tasks have room, and the room of all allowed ones.
func (p *pool) renewals(u *unit, tasks int, now time.Time) (chosen []*worker, room int) {
	var options []option
	for _, t := range u.advice.granted {
		if p.open(t.worker, u, now) {
			options = appendOption(options, t.worker, p.roomFor(t.worker, u))
		}
	}
	sortByRoom(options)
	for _, one := range options {
		if float64(room) >= spareRoom*float64(tasks) || len(chosen) >= maxNamed {
			break
		}
		room += one.room
		if !u.advice.known[one.worker].validAt(now) {
			chosen = append(chosen, one.worker)
		}
	}
	return chosen, room
}

// unasked returns workers that the policy service has not been asked about, so
// many that the share of them that it usually allows has room enough.
func (p *pool) unasked(u *unit, most, tasks int, now time.Time) []*worker {
	var options []option
	for _, w := range p.list {
		if p.open(w, u, now) && !u.advice.asked(w) {
			options = append(options, option{w, p.roomFor(w, u)})
		}
	}
	sortByRoom(options)
	share := p.allowedShare(u.job.queue.GetName())
	var chosen []*worker
	found := 0.0
	for i, one := range options {
		if len(chosen) >= most || (found >= spareChoice*float64(tasks) && i >= fewestNamed) {
			break
		}
		chosen = append(chosen, one.worker)
		found += share * (roomNow*float64(one.room) + roomSoon*float64(one.worker.capacity.times(u.size)))
	}
	return chosen
}

// option is a worker with the number of a unit's tasks that it has room for.
type option struct {
	worker *worker
	room   int
}

func appendOption(options []option, w *worker, room int) []option {
	if room <= 0 {
		return options
	}
	return append(options, option{w, room})
}

func sortByRoom(options []option) {
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
}

// roomFor is how many of the unit's tasks fit on the worker at present.
func (p *pool) roomFor(w *worker, u *unit) int {
	return u.limitPerWorker(w, w.free.times(u.size))
}

// limitPerWorker cuts a number of the unit's tasks to what it may still have on
// the worker. One that was set aside is tried with a single task.
func (u *unit) limitPerWorker(w *worker, room int) int {
	if w.health.failures >= failuresToSetAside {
		room = min(room, 1)
	}
	if limit := int(u.spec.GetMaxPerWorker()); limit > 0 {
		return min(room, max(0, limit-w.ofUnit(u)))
	}
	return room
}

// ask calls the policy service for the unit. The caller holds the lock.
func (p *pool) ask(u *unit, about []*worker, now time.Time) {
	if len(about) == 0 {
		u.advice.retryAt = now.Add(adviceRetry)
		return
	}
	cost := adviceCost(u.job.queue.GetPolicy(), len(about))
	address, ok := p.d.advisors.pick(now, cost, u.rank.band)
	if !ok {
		p.d.counters.advicePutOff.Inc(1)
		u.advice.retryAt = now.Add(adviceRetry)
		return
	}
	u.advice.asking++
	p.d.counters.adviceAsked.Inc(1)
	p.d.counters.adviceNames.Inc(int64(len(about)))
	names := make([]string, len(about))
	for i, w := range about {
		names[i] = w.record.GetId()
	}
	p.d.spawn(func() {
		ctx, cancel := context.WithTimeout(p.d.ctx, cost+adviceSlack)
		defer cancel()
		answer, err := p.d.Advisor.Advise(ctx, address, u.name(), names)
		p.advised(u, address, about, answer, err, now)
	})
}

// advised takes in the policy service's answer.
func (p *pool) advised(u *unit, address string, about []*worker, answer *apiv1.AdviseResponse, err error, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	u.advice.asking--
	u.advice.retryAt = now.Add(min(adviceRetry<<u.advice.misses, longestAdviceRetry))
	u.advice.misses = min(u.advice.misses+1, maxAdviceMisses)
	if err != nil || answer.GetBusy() {
		p.d.counters.adviceFailed.Inc(1)
		if p.d.ctx.Err() == nil {
			p.d.Logger.Warn("no advice", "step", u.name(), "advisor", address, "busy", answer.GetBusy(), "error", err)
		}
		p.d.advisors.callFailed(address, now)
		return
	}
	p.d.counters.adviceTime.Update(now.Sub(asked).Milliseconds())
	values := make(map[string]string, len(answer.GetTickets()))
	for _, t := range answer.GetTickets() {
		values[t.GetWorker()] = t.GetTicket()
	}
	validity := time.Duration(u.job.queue.GetPolicy().GetValidityMs()) * time.Millisecond
	u.advice.learn(about, values, now.Add(validity-ticketMargin))
	p.d.Logger.Info("advice received", "step", u.name(), "asked", len(about), "allowed", len(values),
		"allowed_in_all", len(u.advice.granted), "took_ms", now.Sub(asked).Milliseconds())
	p.learnShare(u.job.queue.GetName(), len(about), len(values))
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
