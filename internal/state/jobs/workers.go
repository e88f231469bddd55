package jobs

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// setWorker takes over what a worker told of itself, unless a later life of it
// is known. A life that began to drain goes on draining.
func (t *Table) setWorker(worker *apiv1.PoolWorker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := t.workers[worker.GetId()]
	if present != nil && present.GetBornUnixMs() > worker.GetBornUnixMs() {
		return
	}
	kept := proto.CloneOf(worker)
	if present != nil && present.GetBornUnixMs() == worker.GetBornUnixMs() {
		kept.Draining = kept.GetDraining() || present.GetDraining()
		kept.Gone = kept.GetGone() || present.GetGone()
	}
	t.workers[worker.GetId()] = kept
}

// forgetWorkers drops lives that are over. Later lives stay.
func (t *Table) forgetWorkers(lives []*apiv1.WorkerLife) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, life := range lives {
		if t.workers[life.GetId()].GetBornUnixMs() == life.GetBornUnixMs() {
			delete(t.workers, life.GetId())
		}
	}
}

// Worker returns the newest life of a worker, or nil. The caller must not
// change it.
func (t *Table) Worker(id string) *apiv1.PoolWorker {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.workers[id]
}

// Workers returns all workers by id. The caller must not change them.
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
