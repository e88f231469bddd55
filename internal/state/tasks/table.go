package tasks

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// Table holds workers, jobs and task attempts. Apply, Configure, Snapshot and
// Restore must be called from one goroutine, the writer; the other exported
// methods may be called concurrently.
type Table struct {
	jobs    *shards[*job]
	workers *shards[*worker]
	changes *changes

	// Only the writer accesses the fields below.
	now          int64 // Unix milliseconds; never goes back
	jobSerial    uint64
	teams        map[string]*teamAccount
	teamSpecs    []*apiv1.Team
	shapes       []*apiv1.WorkerShape
	capacities   map[resources.Amount]int // number of registered workers by capacity
	quarantined  map[string]bool          // names of quarantined workers
	aliveWorkers int
	liveAttempts map[string]*attempt // by id
}

// New returns an empty table.
func New() *Table {
	t := &Table{
		jobs:    newShards[*job](),
		workers: newShards[*worker](),
		changes: newChanges(),
	}
	t.clearWriterState()
	return t
}

// clearWriterState resets the fields that only the writer accesses.
func (t *Table) clearWriterState() {
	t.now = 0
	t.jobSerial = 0
	t.teams = make(map[string]*teamAccount)
	t.teamSpecs = nil
	t.shapes = nil
	t.capacities = make(map[resources.Amount]int)
	t.quarantined = make(map[string]bool)
	t.aliveWorkers = 0
	t.liveAttempts = make(map[string]*attempt)
}

// lockJob locks the job's shard until releaseLocks and returns the job, or nil if
// there is none.
func (t *Table) lockJob(name string) *job {
	return t.jobs.lockShard(name).values[name]
}

// lockWorker locks the worker's shard until releaseLocks and returns the worker,
// or nil if there is none.
func (t *Table) lockWorker(name string) *worker {
	return t.workers.lockShard(name).values[name]
}

// releaseLocks unlocks all shards that the writer has locked.
func (t *Table) releaseLocks() {
	t.jobs.unlockAll()
	t.workers.unlockAll()
}

func (t *Table) advanceClock(nowUnixMs int64) {
	t.now = max(t.now, nowUnixMs)
}

func (t *Table) markWorkerChanged(name string) {
	t.changes.markWorker(name)
}

func (t *Table) markTaskChanged(j *job, task *task) {
	t.changes.markTask(j.spec.GetName(), task.index)
}
