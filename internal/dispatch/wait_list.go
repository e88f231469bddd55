package dispatch

import (
	"iter"
	"slices"
)

// waitList holds the units of a pool's jobs that have tasks which are not done, so that a pass over a long backlog
// reads memory in sequence. The zero value is empty.
type waitList struct {
	parked   []*parking          // in no order
	parkedOf [parkingClasses]int // their numbers by class
	others   []*unit             // and some that are parked, done or removed since the last pass
}

// add adds a unit that is not parked.
func (l *waitList) add(u *unit) {
	if !u.listed {
		u.listed = true
		l.others = append(l.others, u)
	}
}

// park moves a unit to the parked ones.
func (l *waitList) park(pk *parking) {
	pk.index = len(l.parked)
	l.parked = append(l.parked, pk)
	l.parkedOf[pk.class]++
}

// unpark moves a unit to the ones that are not parked.
func (l *waitList) unpark(pk *parking) {
	last := len(l.parked) - 1
	l.parked[pk.index] = l.parked[last]
	l.parked[pk.index].index = pk.index
	l.parked[last] = nil
	l.parked = l.parked[:last]
	l.parkedOf[pk.class]--
	l.add(pk.unit)
}

// allParked returns all parkings. Units may be unparked meanwhile; those that had not been returned may be left out then.
func (l *waitList) allParked() iter.Seq[*parking] {
	return func(yield func(*parking) bool) {
		for i := len(l.parked) - 1; i >= 0; i = min(i, len(l.parked)) - 1 {
			if !yield(l.parked[i]) {
				return
			}
		}
	}
}

// unparked returns the units that are not parked. The result is valid until the next call.
func (l *waitList) unparked() []*unit {
	l.others = slices.DeleteFunc(l.others, func(u *unit) bool {
		u.listed = u.remaining > 0 && u.parking == nil && !u.job.removed
		return !u.listed
	})
	return l.others
}
