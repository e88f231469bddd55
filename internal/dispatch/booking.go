package dispatch

import "time"

// booking is the set of workers whose room a waiting gang collects. Units of its
// band and of worse ones start only what should be over when the gang begins.
//
// A gang books all the workers it needs or none, so that two gangs never wait
// for each other's workers.
type booking struct {
	workers []*worker
	begins  time.Time // when their room should have come together
}

// bookableShare is the part of a pool's workers that waiting gangs may book
// together, so that other work goes on. A first booking may take more.
const bookableShare = 0.5

// bookingHorizons are the times within which a gang's room may come together. The
// shortest that gives enough room counts, since booked workers stand idle. A gang
// may use those that are not longer than a share of the time it has waited itself.
var bookingHorizons = [...]time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// idleShare is the part of its own waiting time for which a gang may keep workers
// idle.
const idleShare = 0.25

// bookingRetry is the pause after a gang found no workers to book.
const bookingRetry = 200 * time.Millisecond

// bookingOutcome tells whether a gang has booked its workers.
type bookingOutcome int

const (
	bookingNone   bookingOutcome = iota // not now
	bookingHeld                         // the gang has workers enough
	bookingNarrow                       // too few workers are known to be allowed, free and soon idle
)

// bookingNames are the outcomes as the log shows them.
var bookingNames = map[bookingOutcome]string{
	bookingNone: "none", bookingHeld: "held", bookingNarrow: "too few allowed",
}

// book makes sure that the gang has booked workers enough, if there are any.
func (p *pool) book(u *unit, tasks int, pass *passState) bookingOutcome {
	if u.booking != nil && p.stillBooked(u, tasks, pass.now) {
		return bookingHeld
	}
	if u.booking != nil {
		p.giveUpBooking(u)
		pass.booked = nil
	}
	if pass.now.Before(u.bookAgain) {
		return bookingNone
	}
	u.bookAgain = pass.now.Add(bookingRetry)
	limit := int(bookableShare * float64(len(p.list)))
	booked := pass.bookedFrom(p.list, u.rank.band)
	if booked > 0 && booked >= limit {
		return bookingNone
	}
	free := p.bookable(u, pass.now)
	if holds(free, u) < tasks {
		return bookingNarrow
	}
	chosen, begins := chooseWorkers(u, free, tasks, pass.forecast(p.list))
	if len(chosen) == 0 {
		return bookingNarrow
	}
	if booked > 0 && booked+len(chosen) > limit {
		return bookingNone
	}
	for _, w := range chosen {
		if w.bookedFor != nil {
			p.giveUpBooking(w.bookedFor) // of a worse band
		}
		w.bookedFor = u
	}
	u.booking = &booking{workers: chosen, begins: begins}
	pass.booked = nil
	return bookingHeld
}

// admits reports whether a unit may start on a worker that is booked for
// another, as far as the booking goes.
func (b *booking) admits(u, owner *unit, now time.Time) bool {
	return u == owner || u.rank.band < owner.rank.band || !now.Add(u.estimate()).After(b.begins)
}

// stillBooked reports whether the booked workers can still hold the gang, and
// soon will. One that keeps the gang waiting is exchanged.
func (p *pool) stillBooked(u *unit, tasks int, now time.Time) bool {
	var left []*worker
	room := 0
	for _, w := range u.booking.workers {
		if p.eligible(w, u, now) && p.mayBeAllowed(w, u) {
			left = append(left, w)
			room += w.roomBy(u, now, now)
		}
	}
	late := now.After(u.booking.begins.Add(bookingRetry)) && room < tasks
	return !late && holds(left, u) >= tasks
}

// holds is how many of the unit's tasks the workers could run if nothing else
// ran there.
func holds(workers []*worker, u *unit) int {
	total := 0
	for _, w := range workers {
		total += u.limitPerWorker(w, w.capacity.times(u.size))
	}
	return total
}

// giveUpBooking lets other units use the booked workers.
func (p *pool) giveUpBooking(u *unit) {
	if u.booking == nil {
		return
	}
	for _, w := range u.booking.workers {
		if w.bookedFor == u {
			w.bookedFor = nil
		}
	}
	u.booking = nil
}

// mayBeAllowed reports whether the unit's policy is known to allow the worker.
func (p *pool) mayBeAllowed(w *worker, u *unit) bool {
	return u.job.queue.GetPolicy() == nil || u.advice.allowed(w)
}

// bookable returns the workers that the unit could book: those that are known to
// be allowed and that no unit of its band or a better one has booked.
func (p *pool) bookable(u *unit, now time.Time) []*worker {
	var found []*worker
	for _, w := range p.possible(u) {
		if (w.bookedFor == nil || u.rank.band < w.bookedFor.rank.band) && p.eligible(w, u, now) {
			found = append(found, w)
		}
	}
	return found
}

// chooseWorkers returns the fewest workers that should have room for the tasks
// soonest, and when, or none.
func chooseWorkers(u *unit, workers []*worker, tasks int, forecast *forecast) ([]*worker, time.Time) {
	longest := time.Duration(idleShare * float64(forecast.now.Sub(u.waitsSince)))
	for i, horizon := range bookingHorizons {
		if i > 0 && horizon > longest {
			break
		}
		var options []option
		total := 0
		for _, w := range workers {
			room := u.limitPerWorker(w, forecast.free[w][i].times(u.size))
			options = appendOption(options, w, room)
			total += max(0, room)
		}
		if total >= tasks {
			return fewest(options, tasks), forecast.now.Add(horizon)
		}
	}
	return nil, time.Time{}
}

// fewest returns the workers with the most room that together hold the tasks.
func fewest(options []option, tasks int) []*worker {
	sortByRoom(options)
	var chosen []*worker
	for _, one := range options {
		if tasks <= 0 {
			break
		}
		chosen = append(chosen, one.worker)
		tasks -= one.room
	}
	return chosen
}

// withoutTicket returns the booked workers for which the unit needs a ticket, if
// its room should be there once the policy service has answered.
func (p *pool) withoutTicket(u *unit, tasks int, now time.Time) []*worker {
	answered := now.Add(adviceCost(u.job.queue.GetPolicy(), len(u.booking.workers)))
	var missing []*worker
	room := 0
	for _, w := range u.booking.workers {
		room += w.roomBy(u, now, answered)
		if len(missing) < maxNamed && !u.advice.known[w].validAt(answered) {
			missing = append(missing, w)
		}
	}
	if room < tasks {
		return nil
	}
	return missing
}
