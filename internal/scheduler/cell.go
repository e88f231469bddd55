package scheduler

import (
	"slices"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Cell mirrors the workers, jobs and tasks. It is not safe for concurrent use.
type Cell struct {
	now     int64 // Unix milliseconds
	workers map[string]*Worker
	racks   map[rackKey]*rack
	order   []*rack // sorted by domain, then name
	plain   index   // workers without accelerators
	special index   // workers with accelerators
	whole   resources.Amount
	jobs    map[string]*job
	teams   map[string]*team
	ready   map[string]*job // jobs with due tasks
	rolling map[string]*job // services with outdated attempts
	probes  map[string]*Worker
	timers  timers
	growth  uint64 // counts the times that room was gained
	large   tooLarge

	reservations map[string]*reservation
	victims      victims
	scans        int // searches for victims or for a reservation's time, of this round
}

// NewCell returns an empty cell.
func NewCell() *Cell {
	c := &Cell{}
	c.clear()
	return c
}

func (c *Cell) clear() {
	*c = Cell{
		now:          c.now,
		workers:      make(map[string]*Worker),
		racks:        make(map[rackKey]*rack),
		jobs:         make(map[string]*job),
		teams:        make(map[string]*team),
		ready:        make(map[string]*job),
		rolling:      make(map[string]*job),
		probes:       make(map[string]*Worker),
		growth:       1,
		reservations: make(map[string]*reservation),
		victims:      victims{own: make(map[apiv1.Class]int)},
	}
}

// Update takes over changes. now is in Unix milliseconds and never goes back.
func (c *Cell) Update(now int64, changes *Changes) {
	c.now = max(c.now, now)
	if changes.Reset {
		c.clear()
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
		c.settleJob(changes.Jobs[i].Name)
	}
}

// SetUsage notes what the worker's tasks use by its own, late measurement.
func (c *Cell) SetUsage(worker string, usage resources.Amount) {
	if w, ok := c.workers[worker]; ok {
		w.Usage = usage
	}
}

func (c *Cell) updateTeams(specs []*apiv1.Team) {
	for _, account := range c.teams {
		account.limited = false
		account.quota = resources.Amount{}
	}
	for _, spec := range specs {
		account := c.team(spec.GetName())
		account.limited = spec.GetQuota() != nil
		account.quota = resources.FromMessage(spec.GetQuota())
	}
	c.growth++
}

func (c *Cell) team(name string) *team {
	account, ok := c.teams[name]
	if !ok {
		account = &team{name: name}
		c.teams[name] = account
	}
	return account
}

func (c *Cell) worker(name string) *Worker {
	w, ok := c.workers[name]
	if !ok {
		w = &Worker{Name: name, live: make(map[string]*running), bucket: notIndexed}
		c.workers[name] = w
	}
	return w
}

func (c *Cell) updateWorker(state *WorkerState) {
	w := c.worker(state.Name)
	c.unlist(w)
	used := w.Capacity.Minus(w.Free)
	if w.known && w.Alive {
		c.whole = c.whole.Minus(w.Capacity)
	}
	if state.Removed {
		c.forget(w)
		return
	}
	w.known = true
	w.Boot = state.Boot
	w.Alive = state.Alive
	w.Quarantined = state.Quarantined
	w.ProbeAt = state.ProbeAt
	w.Capacity = state.Capacity
	w.Free = w.Capacity.Minus(used)
	c.relocate(w, state.Location)
	if w.Alive {
		c.whole = c.whole.Plus(w.Capacity)
	}
	c.list(w)
}

func (c *Cell) forget(w *Worker) {
	w.known = false
	w.Alive = false
	if w.rack != nil {
		w.rack.drop(w)
	}
	delete(c.probes, w.Name)
	if len(w.live) == 0 {
		delete(c.workers, w.Name)
	}
}

// relocate moves the worker, and what its attempts count for the spread, to
// the rack of its location.
func (c *Cell) relocate(w *Worker, location *apiv1.Location) {
	before := placeOf(w)
	if w.rack != nil && before == (rackKey{location.GetFailureDomain(), location.GetRack()}) {
		w.Location = location
		return
	}
	c.countSpread(w, -1)
	w.Location = location
	c.countSpread(w, 1)
	if w.rack != nil {
		w.rack.drop(w)
	}
	c.rackOf(w).add(w)
}

func (c *Cell) countSpread(w *Worker, by int) {
	for _, r := range w.live {
		c.jobs[r.job].spread(w, by)
	}
}

func (c *Cell) rackOf(w *Worker) *rack {
	key := placeOf(w)
	r, ok := c.racks[key]
	if ok {
		return r
	}
	r = &rack{domain: key.domain, name: key.name}
	c.racks[key] = r
	at, _ := slices.BinarySearchFunc(c.order, r, func(a, b *rack) int {
		if by := strings.Compare(a.domain, b.domain); by != 0 {
			return by
		}
		return strings.Compare(a.name, b.name)
	})
	c.order = slices.Insert(c.order, at, r)
	return r
}

func (c *Cell) indexOf(w *Worker) *index {
	if w.Capacity.Accelerators > 0 {
		return &c.special
	}
	return &c.plain
}

// list makes a usable worker findable; unlist is called before any change to
// its capacity or state.
func (c *Cell) list(w *Worker) {
	if w.known && w.Alive && w.Quarantined {
		c.probes[w.Name] = w
	} else {
		delete(c.probes, w.Name)
	}
	if !w.usable() {
		if w.rack != nil {
			w.rack.exact = false
		}
		return
	}
	c.indexOf(w).insert(w)
	w.rack.raise(w)
	c.growth++
}

func (c *Cell) unlist(w *Worker) {
	if w.bucket != notIndexed {
		c.indexOf(w).remove(w)
	}
}

// changeFree adds to what the worker has free.
func (c *Cell) changeFree(w *Worker, by resources.Amount) {
	after := w.Free.Plus(by)
	switch {
	case w.bucket == notIndexed:
		w.Free = after
	case w.bucket == bucketOf(after.CPU):
		w.Free = after
		b := &c.indexOf(w).buckets[w.bucket]
		b.most = b.most.Max(w.Free)
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
