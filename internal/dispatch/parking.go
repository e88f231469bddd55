package dispatch

import "time"

// parking is why passes leave out a unit that waits: one has tried to place it, and nothing that decides on it has
// changed since. A unit returns as soon as
//   - a worker that it may use has more room;
//   - the policy service has time for a call that could not be made;
//   - the cap of its workspace may permit more;
//   - its own state changes, such as by an end of a run or an answer of the policy service;
//   - the time until comes, for what passes with the time alone.
//
// Load pattern: thousands of units wait for workers that are in use. Passes that try all of them take the leader's
// processor time from the starts and ends that would work them off, so the longer the backlog, the less is done.
//
// Each pass looks at each parking, so what decides in most cases comes first: the unit itself need not be in the cache.
type parking struct {
	until    time.Time
	adviceAt time.Time // when a call to the policy service may be tried again; zero: none is wanted
	asked    bool      // the policy service has been asked about all workers that could be used
	held     bool      // the cap of its workspace holds tasks back
	heldAll  bool      // these are all tasks that could start
	size     resources // of a task
	unit     *unit
	pool     *pool
	class    int
	index    int // in the list of parked units
	sums     parkedSums
}

// parkedSums are sums over parked units of one workspace.
type parkedSums struct {
	units, heldUnits int
	demand           resources // of the tasks that wait for workers
}

func (s *parkedSums) add(o parkedSums) {
	s.units += o.units
	s.heldUnits += o.heldUnits
	s.demand.add(o.demand)
}

func (s *parkedSums) subtract(o parkedSums) {
	s.units -= o.units
	s.heldUnits -= o.heldUnits
	s.demand.subtract(o.demand)
}

// Classes of parked units, by which they are tried again.
const (
	classUrgent = iota
	classGang   // gangs that still have a value: they look for workers to reserve
	classOther
	parkingClasses
)

const (
	// minRetrySpacing bounds the rate at which the units of a class are tried again for lack of any other reason, so
	// that it does not grow with the backlog, unless maxParking requires more.
	minRetrySpacing = time.Millisecond
	// minParking and maxParking bound the time after which a unit is tried again for lack of any other reason.
	minParking = idlePassInterval
	maxParking = 2 * time.Second
)

// park leaves the unit out of passes until something changes for it. unplaced is the number of its tasks that found
// no worker. The caller holds the lock.
func (p *pool) park(u *unit, unplaced int, pass *passState) {
	if u.risk.onTrial() {
		return // what it waits for is chosen anew by each pass
	}
	pk := &parking{unit: u, size: u.size, pool: p, asked: u.advice.exhausted, held: u.heldAt.Equal(pass.now), class: classOther}
	pk.sums.units = 1
	if pk.held {
		pk.sums.heldUnits = 1
	}
	if pk.heldAll = pk.held && unplaced == 0; !pk.heldAll {
		pk.sums.demand = u.size.times(u.remaining - u.active)
		if u.waitingSince.IsZero() { // some of its tasks were placed
			u.waitingSince = pass.now
		}
	}
	if u.advice.deferred {
		pk.adviceAt = latestOf(u.advice.retryAt, pass.now)
		if u.spec.GetGang() {
			pk.adviceAt = latestOf(pk.adviceAt, u.nextReservation)
		}
	}
	switch {
	case u.rank.band == bandUrgent:
		pk.class = classUrgent
	case u.spec.GetGang() && u.rank.band < bandExpired:
		pk.class = classGang
	}
	u.parking = pk
	p.waitList.park(pk)
	pk.until = pass.now.Add(p.retryInterval(u))
	if pk.held {
		pk.until = earliestOf(pk.until, p.d.ledger.settledAt(), pass.now)
	}
	for _, t := range u.tasks {
		pk.until = earliestOf(pk.until, t.notBefore, pass.now)
	}
	sums := p.parkedSums[u.job.workspace]
	sums.add(pk.sums)
	p.parkedSums[u.job.workspace] = sums
}

// unpark makes the next pass try the unit again. It does nothing unless the unit is parked. The caller holds the lock
// of its pool.
func (u *unit) unpark() {
	pk := u.parking
	if pk == nil {
		return
	}
	u.parking = nil
	pk.pool.waitList.unpark(pk)
	sums := pk.pool.parkedSums[u.job.workspace]
	sums.subtract(pk.sums)
	if sums.units == 0 {
		delete(pk.pool.parkedSums, u.job.workspace)
		return
	}
	pk.pool.parkedSums[u.job.workspace] = sums
}

// unparkQueue unparks the units of the queue's jobs.
func (p *pool) unparkQueue(queue string) {
	for _, j := range p.jobs {
		if j.queue.GetName() != queue {
			continue
		}
		for _, u := range j.units {
			u.unpark()
		}
	}
}

// earliestOf returns the earlier of the times, of which the second counts only if it is after now.
func earliestOf(at, other, now time.Time) time.Time {
	if other.After(now) && other.Before(at) {
		return other
	}
	return at
}
