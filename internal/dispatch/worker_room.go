package dispatch

import (
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// workerRoom is what decides which units may start runs on a worker, apart from their own state.
type workerRoom struct {
	free        resources
	startable   bool // for units that need no trial
	probed      bool // it takes one run at a time
	riskyRuns   int
	reservedFor *unit
	record      *apiv1.PoolWorker
}

func (w *worker) room(now time.Time) workerRoom {
	return workerRoom{
		free: w.free, startable: !w.trial && w.schedulable(now), probed: w.health.failures >= failuresToQuarantine,
		riskyRuns: w.riskyRuns, reservedFor: w.reservedFor, record: w.record,
	}
}

// exceeds reports whether a unit may start on a worker with the room, and may not with the other.
func (r workerRoom) exceeds(o workerRoom) bool {
	return r.opens(o) || (r.startable && (r.free.exceeds(o.free) || (o.probed && !r.probed)))
}

// opens reports whether a unit may start on a worker with the room, and may not with the other, whatever is free.
func (r workerRoom) opens(o workerRoom) bool {
	return r.startable && (!o.startable || r.riskyRuns < o.riskyRuns || r.record != o.record ||
		(o.reservedFor != nil && r.reservedFor != o.reservedFor))
}

// least returns a room that either of the two exceeds if it exceeds the other.
func (r workerRoom) least(o workerRoom) workerRoom {
	least := o
	least.free = r.free.smallest(o.free)
	least.startable = r.startable && o.startable
	least.probed = r.probed || o.probed
	least.riskyRuns = max(r.riskyRuns, o.riskyRuns)
	if o.reservedFor == nil {
		least.reservedFor = r.reservedFor
	}
	return least
}

// exceeds reports whether more of any resource is there than of the other.
func (r resources) exceeds(o resources) bool {
	return r.cpu > o.cpu || r.memory > o.memory || r.accelerators > o.accelerators
}

// findGrown finds the workers that have more room than at the end of the last pass.
func (p *pool) findGrown(pass *passState) {
	for _, w := range p.workerList {
		room := w.room(pass.now)
		if room.exceeds(w.seenRoom) {
			pass.grown = append(pass.grown, w)
			pass.mostGrown = pass.mostGrown.largest(w.free)
		}
		if room.opens(w.seenRoom) {
			pass.opened = append(pass.opened, w)
		}
		w.grewInPass = false
	}
}

// recordRoom records the room of all workers at the end of a pass. After a pass that was cut, not all units have seen
// the room that there was, and what has grown during the pass was seen by some only.
func (p *pool) recordRoom(pass *passState) {
	for _, w := range p.workerList {
		room := w.room(pass.now)
		if pass.cut {
			room = w.seenRoom.least(room)
		}
		room.startable = room.startable && !w.grewInPass
		w.seenRoom = room
	}
}
