package scheduler

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Cell mirrors the workers, jobs and tasks of the replicated task table for
// scheduling. It is not safe for concurrent use.
type Cell struct {
	now              int64 // Unix milliseconds
	workers          map[string]*Worker
	racks            map[rackKey]*rack
	sortedRacks      []*rack // sorted by failure domain, then name
	cpuIndex         index   // workers without accelerators
	acceleratorIndex index   // workers with accelerators
	totalCapacity    resources.Amount
	jobs             map[string]*job
	teams            map[string]*team
	readyJobs        map[string]*job // jobs that can be placed now
	rollingJobs      map[string]*job // services with outdated attempts to replace
	quarantined      map[string]*Worker
	timers           timers
	capacityEpoch    uint64 // incremented whenever a blocked job may fit again
	infeasible       infeasibleAmounts

	reservations map[string]*reservation
	preemptible  preemptibleCounts
	searches     int // searches for victims or for a reservation's time in this round
}

// NewCell returns an empty cell.
func NewCell() *Cell {
	c := &Cell{}
	c.reset()
	return c
}

func (c *Cell) reset() {
	*c = Cell{
		now:           c.now,
		workers:       make(map[string]*Worker),
		racks:         make(map[rackKey]*rack),
		jobs:          make(map[string]*job),
		teams:         make(map[string]*team),
		readyJobs:     make(map[string]*job),
		rollingJobs:   make(map[string]*job),
		quarantined:   make(map[string]*Worker),
		capacityEpoch: 1,
		reservations:  make(map[string]*reservation),
		preemptible:   preemptibleCounts{withinQuota: make(map[apiv1.Class]int)},
	}
}

// Update applies changes of the task table. now is in Unix milliseconds; the
// cell's time never goes back.
func (c *Cell) Update(now int64, changes *Changes) {
	c.now = max(c.now, now)
	if changes.Reset {
		c.reset()
	}
	if changes.TeamsChanged {
		c.updateTeams(changes.Teams)
	}
	for i := range changes.Workers {
		c.updateWorker(&changes.Workers[i])
	}
	for i := range changes.Jobs {
		c.updateJob(&changes.Jobs[i])
	}
	for i := range changes.Tasks {
		c.updateTask(&changes.Tasks[i])
	}
	for i := range changes.Jobs {
		c.requeueJob(changes.Jobs[i].Name)
	}
}

// SetUsage records the measured usage of the worker's tasks, which lags behind.
func (c *Cell) SetUsage(worker string, usage resources.Amount) {
	if w, ok := c.workers[worker]; ok {
		w.Usage = usage
	}
}

func (c *Cell) updateTeams(specs []*apiv1.Team) {
	for _, t := range c.teams {
		t.hasQuota = false
		t.quota = resources.Amount{}
	}
	for _, spec := range specs {
		t := c.team(spec.GetName())
		t.hasQuota = spec.GetQuota() != nil
		t.quota = resources.FromMessage(spec.GetQuota())
	}
	c.capacityEpoch++
}

// team returns the team of that name, which is added if it is unknown.
func (c *Cell) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{name: name}
		c.teams[name] = t
	}
	return t
}

// worker returns the worker of that name, which is added, as not registered, if it
// is unknown.
func (c *Cell) worker(name string) *Worker {
	w, ok := c.workers[name]
	if !ok {
		w = &Worker{Name: name, attempts: make(map[string]*liveAttempt), bucket: notIndexed}
		c.workers[name] = w
	}
	return w
}

func (c *Cell) updateWorker(state *WorkerState) {
	w := c.worker(state.Name)
	c.unindexWorker(w)
	used := w.Capacity.Minus(w.Free)
	if w.registered && w.Alive {
		c.totalCapacity = c.totalCapacity.Minus(w.Capacity)
	}
	if state.Removed {
		c.removeWorker(w)
		return
	}
	w.registered = true
	w.Boot = state.Boot
	w.Alive = state.Alive
	w.Quarantined = state.Quarantined
	w.ProbeAt = state.ProbeAt
	w.Capacity = state.Capacity
	w.Free = w.Capacity.Minus(used)
	c.relocate(w, state.Location)
	if w.Alive {
		c.totalCapacity = c.totalCapacity.Plus(w.Capacity)
	}
	c.indexWorker(w)
}

func (c *Cell) removeWorker(w *Worker) {
	w.registered = false
	w.Alive = false
	if w.rack != nil {
		w.rack.remove(w)
	}
	delete(c.quarantined, w.Name)
	if len(w.attempts) == 0 {
		delete(c.workers, w.Name)
	}
}

// relocate moves the worker, and its attempts in the spread counts, to the rack
// of its location.
func (c *Cell) relocate(w *Worker, location *apiv1.Location) {
	before := rackKeyOf(w)
	if w.rack != nil && before == (rackKey{location.GetFailureDomain(), location.GetRack()}) {
		w.Location = location
		return
	}
	c.addToSpread(w, -1)
	w.Location = location
	c.addToSpread(w, 1)
	if w.rack != nil {
		w.rack.remove(w)
	}
	c.rackOf(w).add(w)
}

func (c *Cell) addToSpread(w *Worker, by int) {
	for _, a := range w.attempts {
		c.jobs[a.job].addToSpread(w, by)
	}
}

func (c *Cell) rackOf(w *Worker) *rack {
	key := rackKeyOf(w)
	r, ok := c.racks[key]
	if ok {
		return r
	}
	r = &rack{domain: key.domain, name: key.name}
	c.racks[key] = r
	at, _ := slices.BinarySearchFunc(c.sortedRacks, r, func(a, b *rack) int {
		if by := strings.Compare(a.domain, b.domain); by != 0 {
			return by
		}
		return strings.Compare(a.name, b.name)
	})
	c.sortedRacks = slices.Insert(c.sortedRacks, at, r)
	return r
}

func (c *Cell) indexOf(w *Worker) *index {
	if w.Capacity.Accelerators > 0 {
		return &c.acceleratorIndex
	}
	return &c.cpuIndex
}

// indexWorker adds a usable worker to the index and updates the set of
// quarantined workers. Call unindexWorker before any change to the worker's
// capacity or state.
func (c *Cell) indexWorker(w *Worker) {
	if w.registered && w.Alive && w.Quarantined {
		c.quarantined[w.Name] = w
	} else {
		delete(c.quarantined, w.Name)
	}
	if !w.usable() {
		if w.rack != nil {
			w.rack.exact = false
		}
		return
	}
	c.indexOf(w).insert(w)
	w.rack.raiseBound(w)
	c.capacityEpoch++
}

func (c *Cell) unindexWorker(w *Worker) {
	if w.bucket != notIndexed {
		c.indexOf(w).remove(w)
	}
}

// adjustFree adds an amount, which may be negative, to the worker's free
// capacity.
func (c *Cell) adjustFree(w *Worker, by resources.Amount) {
	after := w.Free.Plus(by)
	switch {
	case w.bucket == notIndexed:
		w.Free = after
	case w.bucket == bucketOf(after.CPU):
		w.Free = after
		b := &c.indexOf(w).buckets[w.bucket]
		b.maxFree = b.maxFree.Max(w.Free)
		b.exact = false
	default:
		c.indexOf(w).remove(w)
		w.Free = after
		c.indexOf(w).insert(w)
	}
	if w.rack != nil {
		w.rack.exact = false
	}
}
