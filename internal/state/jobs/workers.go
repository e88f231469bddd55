package jobs

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// setWorker stores what a worker announced about itself, unless a later incarnation
// is known. Within one incarnation, draining and gone are never reset, and nothing else
// is taken from a report with a lower sequence than the stored one; one of another service
// is ignored. It returns the stored record, or nil if none was stored.
func (t *Table) setWorker(worker *apiv1.PoolWorker) *apiv1.PoolWorker {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.workers[worker.GetId()]
	if current != nil && current.GetBornUnixMs() > worker.GetBornUnixMs() {
		return nil
	}
	stored := proto.CloneOf(worker)
	if current != nil && current.GetBornUnixMs() == worker.GetBornUnixMs() {
		if worker.GetService() != current.GetService() {
			return nil
		}
		if worker.GetSequence() < current.GetSequence() {
			stored = proto.CloneOf(current)
		}
		stored.Draining = worker.GetDraining() || current.GetDraining()
		stored.Gone = worker.GetGone() || current.GetGone()
	}
	t.workers[worker.GetId()] = stored
	return stored
}

// forgetWorkers deletes ended incarnations of workers. A worker with a later
// incarnation stays.
func (t *Table) forgetWorkers(incarnations []*apiv1.WorkerLife) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, incarnation := range incarnations {
		if t.workers[incarnation.GetId()].GetBornUnixMs() == incarnation.GetBornUnixMs() {
			delete(t.workers, incarnation.GetId())
		}
	}
}

// Worker returns the newest incarnation of a worker, or nil. The caller must not
// modify it.
func (t *Table) Worker(id string) *apiv1.PoolWorker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.workers[id]
}

// WorkerCount returns the number of workers in the table.
func (t *Table) WorkerCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.workers)
}

// Workers returns all workers, sorted by id. The caller must not modify them.
func (t *Table) Workers() []*apiv1.PoolWorker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*apiv1.PoolWorker, 0, len(t.workers))
	for _, worker := range t.workers {
		all = append(all, worker)
	}
	slices.SortFunc(all, func(a, b *apiv1.PoolWorker) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return all
}
