package dispatch

import (
	"cmp"
	"slices"
)

// candidate is a worker on which tasks of a unit may be started now.
type candidate struct {
	worker  *worker
	fitting int    // number of the unit's tasks that fit
	ticket  string // of the policy service; "": none needed
}

// placement assigns a task to a worker.
type placement struct {
	task   *task
	worker *worker
	ticket string
}

// placeTasks places the tasks one by one, each on the worker with the lowest
// placement cost. It stops at the first task for which no candidate is left.
func (p *pool) placeTasks(u *unit, waiting []*task, candidates []candidate) []placement {
	var placed []placement
	used := make(map[*worker]int)
	for _, t := range waiting {
		best := -1
		var bestCost int64
		for i := range candidates {
			c := &candidates[i]
			if c.fitting <= used[c.worker] {
				continue
			}
			if taskCost := placementCost(u, t, c.worker, int64(used[c.worker])); best < 0 || taskCost < bestCost ||
				(taskCost == bestCost && c.worker.record.GetId() < candidates[best].worker.record.GetId()) {
				best, bestCost = i, taskCost
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

// Penalties added to the placement cost, in thousandths of a core. Each outweighs
// the sum of all that follow it and any free CPU.
const (
	penaltyFailedHere = 1 << 40 // this task has failed on the worker before
	penaltySuspect    = 1 << 30 // runs have failed on the worker since its last success
	penaltyRemoteData = 1 << 25 // the task's data is on another rack
	// penaltyReserved: a waiting gang has reserved the worker. Urgent tasks may start there
	// all the same; if they did so while there is room elsewhere, the gang would never find
	// its capacity free.
	penaltyReserved = 1 << 24
	// penaltyBesideSuspects: another suspect runs there, and a crash would not tell them apart.
	penaltyBesideSuspects = 1 << 23
)

// placementCost rates a worker for a task; lower is better. Workers with less free
// CPU are preferred (best fit), which keeps large free areas for gangs.
func placementCost(u *unit, t *task, w *worker, placedHere int64) int64 {
	taskCost := w.free.cpu - placedHere*u.size.cpu
	if t.failedOn[w.record.GetId()] {
		taskCost += penaltyFailedHere
	}
	if w.health.suspect() {
		taskCost += penaltySuspect
	}
	if rack := u.spec.GetDataRack(); rack != "" && !w.hasLabel(rack) {
		taskCost += penaltyRemoteData
	}
	if w.isReservedForOther(u) {
		taskCost += penaltyReserved
	}
	if u.risk == riskSuspect && w.riskyRuns > 0 {
		taskCost += penaltyBesideSuspects
	}
	return taskCost
}

// placeGang places all tasks of a gang or none. It uses a single rack if the step
// asks for that and a rack has enough capacity, and otherwise prefers workers
// without penalties and with the most capacity.
func (p *pool) placeGang(u *unit, waiting []*task, candidates []candidate) []placement {
	total := 0
	for _, c := range candidates {
		total += c.fitting
	}
	if total < len(waiting) || len(waiting) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(placementCost(u, waiting[0], a.worker, 0)>>25, placementCost(u, waiting[0], b.worker, 0)>>25),
			cmp.Compare(b.fitting, a.fitting),
			cmp.Compare(a.worker.record.GetId(), b.worker.record.GetId()))
	})
	if u.spec.GetOneRack() {
		if rackCandidates := tightestRack(candidates, len(waiting)); rackCandidates != nil {
			candidates = rackCandidates
		}
	}
	var placed []placement
	for _, c := range candidates {
		for range c.fitting {
			if len(placed) == len(waiting) {
				return placed
			}
			placed = append(placed, placement{waiting[len(placed)], c.worker, c.ticket})
		}
	}
	return placed
}

// tightestRack returns the candidates of the rack with the least capacity that
// holds the tasks, or nil if there is none.
func tightestRack(candidates []candidate, tasks int) []candidate {
	racks := make(map[string][]candidate)
	fittingByRack := make(map[string]int)
	for _, c := range candidates {
		racks[c.worker.rack()] = append(racks[c.worker.rack()], c)
		fittingByRack[c.worker.rack()] += c.fitting
	}
	best := ""
	for rack, fitting := range fittingByRack {
		if fitting >= tasks && (best == "" || fitting < fittingByRack[best] || (fitting == fittingByRack[best] && rack < best)) {
			best = rack
		}
	}
	return racks[best]
}
