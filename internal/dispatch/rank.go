package dispatch

import (
	"cmp"
	"time"
)

// band is the first criterion in which units are placed.
type band int

const (
	bandUrgent  band = iota // first priority, and can still be on time
	bandOnTime              // can still earn in full
	bandLate                // can still earn the share of late work
	bandExpired             // earns nothing any more
)

// lateObjectiveFactor is how many times its objective a job may take and still earn.
const lateObjectiveFactor = 3

// rank is a unit's place in the order of placement.
type rank struct {
	band        band
	priority    int32
	latestStart time.Time // start at which the job is just on time
}

// rankOf ranks a unit: work that can still be on time goes first, by the
// latest start at which it is; what is late anyway follows by priority.
func rankOf(u *unit, now time.Time) rank {
	j := u.job
	remainingTime := u.estimate() + u.remainingPath
	objective := j.objective
	begin := j.accepted
	if due := u.dueUnixMs(); due > 0 {
		// Each occurrence counts from its own due time.
		begin = latestOf(begin, time.UnixMilli(due))
	}
	latestStart := begin.Add(objective - remainingTime)
	r := rank{priority: j.queue.GetPriority(), latestStart: latestStart}
	switch {
	case u.spec.GetLongRunning():
		r.band = bandUrgent
	case now.Before(latestStart) && r.priority == 0:
		r.band = bandUrgent
	case now.Before(latestStart):
		r.band = bandOnTime
	case now.Before(begin.Add(lateObjectiveFactor*objective - remainingTime)):
		r.band = bandLate
	default:
		r.band = bandExpired
	}
	return r
}

func (r rank) compare(o rank) int {
	if r.band != o.band {
		return cmp.Compare(r.band, o.band)
	}
	if r.band >= bandLate && r.priority != o.priority {
		return cmp.Compare(r.priority, o.priority)
	}
	return r.latestStart.Compare(o.latestStart)
}
