package tasks

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Table holds workers, jobs and task attempts. Apply, Configure and Restore
// are called from one goroutine; all other methods are safe beside them.
type Table struct {
	jobs    *shards[*job]
	workers *shards[*worker]
	changes *changes

	// Only the applying goroutine uses what follows.
	now         int64 // Unix milliseconds; never goes back
	jobSerial   uint64
	teams       map[string]*team
	teamSpecs   []*apiv1.Team
	shapes      []*apiv1.WorkerShape
	capacities  map[resources.Amount]int // registered workers of each size
	quarantined map[string]bool          // workers set aside
	alive       int                      // workers
	live        map[string]*attempt      // by id
}

// New returns an empty table.
func New() *Table {
	t := &Table{
		jobs:    newShards[*job](),
		workers: newShards[*worker](),
		changes: newChanges(),
	}
	t.clear()
	return t
}

// clear empties what only the applying goroutine uses.
func (t *Table) clear() {
	t.now = 0
	t.jobSerial = 0
	t.teams = make(map[string]*team)
	t.teamSpecs = nil
	t.shapes = nil
	t.capacities = make(map[resources.Amount]int)
	t.quarantined = make(map[string]bool)
	t.alive = 0
	t.live = make(map[string]*attempt)
}

// job returns the job, its shard locked until release; nil: there is none.
func (t *Table) job(name string) *job {
	return t.jobs.write(name).values[name]
}

// worker returns the worker, its shard locked until release; nil: there is none.
func (t *Table) worker(name string) *worker {
	return t.workers.write(name).values[name]
}

// release lets readers at the shards that the writer changed.
func (t *Table) release() {
	t.jobs.release()
	t.workers.release()
}

func (t *Table) advance(nowUnixMs int64) {
	t.now = max(t.now, nowUnixMs)
}

func (t *Table) dirtyWorker(name string) {
	t.changes.worker(name)
}

func (t *Table) dirtyTask(j *job, k *task) {
	t.changes.task(j.spec.GetName(), k.index)
}
