package dispatch

import (
	"cmp"
	"slices"
)

// candidate is a worker that may run a unit's tasks.
type candidate struct {
	worker *worker
	room   int // tasks of the unit that fit
	ticket string
}

// placement is a task's place.
type placement struct {
	task   *task
	worker *worker
	ticket string
}

// placeEach places the tasks one by one, each on the worker that scores best.
func (p *pool) placeEach(u *unit, waiting []*task, candidates []candidate) []placement {
	var placed []placement
	used := make(map[*worker]int)
	for _, t := range waiting {
		best := -1
		var bestScore int64
		for i := range candidates {
			c := &candidates[i]
			if c.room <= used[c.worker] {
				continue
			}
			if s := score(u, t, c.worker, int64(used[c.worker])); best < 0 || s < bestScore ||
				(s == bestScore && c.worker.record.GetId() < candidates[best].worker.record.GetId()) {
				best, bestScore = i, s
			}
		}
		if best < 0 {
			break
		}
		c := candidates[best]
		used[c.worker]++
		placed = append(placed, placement{t, c.worker, c.ticket})
	}
	return placed
}

// Penalties of score, in thousandths of a core: each outweighs all that comes
// after it.
const (
	penaltyFailedHere = 1 << 40 // the task failed on this worker before
	penaltySuspect    = 1 << 30 // other tasks failed here lately
	penaltyFar        = 1 << 25 // its data is on another rack
)

// score tells how badly a task fits a worker: the less room it leaves, the
// better, so that room for gangs stays in one piece.
func score(u *unit, t *task, w *worker, placedHere int64) int64 {
	s := w.free.cpu - placedHere*u.size.cpu
	if t.failedOn[w.record.GetId()] {
		s += penaltyFailedHere
	}
	if w.health.suspect() {
		s += penaltySuspect
	}
	if rack := u.spec.GetDataRack(); rack != "" && !w.hasLabel(rack) {
		s += penaltyFar
	}
	return s
}

// placeGang places all of a gang's tasks or none: on one rack if that matters
// and one has room, or else on the workers with the most room.
func (p *pool) placeGang(u *unit, waiting []*task, candidates []candidate) []placement {
	total := 0
	for _, c := range candidates {
		total += c.room
	}
	if total < len(waiting) || len(waiting) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(score(u, waiting[0], a.worker, 0)>>25, score(u, waiting[0], b.worker, 0)>>25),
			cmp.Compare(b.room, a.room),
			cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
	if u.spec.GetOneRack() {
		if one := oneRack(candidates, len(waiting)); one != nil {
			candidates = one
		}
	}
	var placed []placement
	for _, c := range candidates {
		for range c.room {
			if len(placed) == len(waiting) {
				return placed
			}
			placed = append(placed, placement{waiting[len(placed)], c.worker, c.ticket})
		}
	}
	return placed
}

// oneRack returns the candidates of the rack with the least room that is
// enough, or nil.
func oneRack(candidates []candidate, tasks int) []candidate {
	racks := make(map[string][]candidate)
	rooms := make(map[string]int)
	for _, c := range candidates {
		racks[c.worker.rack()] = append(racks[c.worker.rack()], c)
		rooms[c.worker.rack()] += c.room
	}
	best := ""
	for rack, room := range rooms {
		if room >= tasks && (best == "" || room < rooms[best] || (room == rooms[best] && rack < best)) {
			best = rack
		}
	}
	return racks[best]
}
