package dispatch

import (
	"cmp"
	"time"
)

// band is the first criterion in which units are placed.
type band int

const (
	bandUrgent   band = iota // first priority, and can still be on time
	bandOnTime               // can still earn in full
	bandLate                 // can still earn the share of late work
	bandHopeless             // earns nothing any more
)

// lateFactor is how many times its objective a job may take and still earn.
const lateFactor = 3

// rank is a unit's place in the order of placement.
type rank struct {
	band     band
	priority int32
	latest   time.Time // start at which the job is just on time
}

// rankOf ranks a unit: work that can still be on time goes first, by the
// latest start at which it is; what is late anyway follows by priority.
func rankOf(u *unit, now time.Time) rank {
	j := u.job
	left := u.estimate() + u.tail
	objective := j.objective
	begin := j.accepted
	if due := u.dueUnixMs(); due > 0 {
		// Each occurrence counts from its own due time.
		begin = later(begin, time.UnixMilli(due))
	}
	latest := begin.Add(objective - left)
	r := rank{priority: j.queue.GetPriority(), latest: latest}
	switch {
	case u.spec.GetLongRunning():
		r.band = bandUrgent
	case now.Before(latest) && r.priority == 0:
		r.band = bandUrgent
	case now.Before(latest):
		r.band = bandOnTime
	case now.Before(begin.Add(lateFactor*objective - left)):
		r.band = bandLate
	default:
		r.band = bandHopeless
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
	return r.latest.Compare(o.latest)
}
