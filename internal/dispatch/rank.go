package dispatch

import (
	"cmp"
	"time"
)

// band is the first criterion of the order in which units are placed: lower bands
// first.
type band int

const (
	bandUrgent  band = iota // long-running, or priority 0 and can still meet its objective
	bandOnTime              // can still meet its objective and have full value
	bandLate                // misses its objective but still has part of its value
	bandExpired             // too late to have any value
)

// lateObjectiveFactor is the multiple of its objective up to which a job still
// has part of its value.
const lateObjectiveFactor = 3

// rank is the sort key of a unit in the placement order.
type rank struct {
	overRate    bool // its job exceeds the rate that its workspace is owed; such units come after all others
	band        band
	aboveShare  bool      // its workspace uses its fair share of the pool or more
	priority    int32     // lower is more important
	latestStart time.Time // latest start with which the job meets its objective
	work        float64   // core-seconds of the job that are left, see lateOrder; 0: no criterion
}

// rankOf ranks a unit. Units that can still meet their objective come first, in
// the order of their latest start; the others follow by priority.
func rankOf(u *unit, now time.Time) rank {
	j := u.job
	remainingTime := u.estimate() + u.remainingPath
	objective := j.objective
	objectiveStart := j.accepted
	if due := u.dueUnixMs(); due > 0 {
		// The objective of an occurrence runs from its due time.
		objectiveStart = latestOf(objectiveStart, time.UnixMilli(due))
	}
	latestStart := objectiveStart.Add(objective - remainingTime)
	r := rank{priority: j.queue.GetPriority(), latestStart: latestStart, overRate: j.overRate}
	switch {
	case u.spec.GetLongRunning():
		r.band = bandUrgent
	case now.Before(latestStart) && r.priority == 0:
		r.band = bandUrgent
	case now.Before(latestStart):
		r.band = bandOnTime
	case now.Before(objectiveStart.Add(lateObjectiveFactor*objective - remainingTime)):
		r.band = bandLate
	default:
		r.band = bandExpired
	}
	return r
}

// compare returns a negative number if r is placed before o.
func (r rank) compare(o rank) int {
	if r.outranks(o) || o.outranks(r) {
		return count(o.outranks(r)) - count(r.outranks(o))
	}
	if r.aboveShare != o.aboveShare {
		return count(r.aboveShare) - count(o.aboveShare)
	}
	if r.band >= bandLate && r.priority != o.priority {
		return cmp.Compare(r.priority, o.priority)
	}
	if r.band >= bandLate && r.work != o.work {
		return cmp.Compare(r.work, o.work)
	}
	return r.latestStart.Compare(o.latestStart)
}

// outranks reports whether r comes before o by its band, or because only o exceeds its rate.
func (r rank) outranks(o rank) bool {
	if r.overRate != o.overRate {
		return o.overRate
	}
	return r.band < o.band
}

// bandOverRate stands for all units over their rate where reservations are counted.
const bandOverRate = bandExpired + 1

// reservationBand returns the band by which the unit's reservations are counted.
func (r rank) reservationBand() band {
	if r.overRate {
		return bandOverRate
	}
	return r.band
}
