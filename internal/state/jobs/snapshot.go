package jobs

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Snapshot encodes the whole table; equal replicated states give equal bytes. No
// command may be applied meanwhile.
func (t *Table) Snapshot() ([]byte, error) {
	snapshot := &apiv1.JobsSnapshot{Catalog: t.Catalog().published, Workers: t.Workers()}
	t.forEach(func(j *job) {
		p := j.progress()
		p.Begun = false
		snapshot.Jobs = append(snapshot.Jobs, p)
	})
	slices.SortFunc(snapshot.Jobs, func(a, b *apiv1.JobProgress) int {
		return cmp.Compare(a.GetJob().GetId(), b.GetJob().GetId())
	})
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, errors.Wrap(err, "encode the jobs")
}

// Restore replaces the whole table with a snapshot. On an error the table is
// unchanged. No command may be applied meanwhile.
func (t *Table) Restore(encoded []byte) error {
	snapshot := &apiv1.JobsSnapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return errors.Wrap(err, "decode the jobs")
	}
	restored := make(map[string]*job, len(snapshot.GetJobs()))
	for _, p := range snapshot.GetJobs() {
		restored[p.GetJob().GetId()] = restoreJob(p)
	}
	for i := range t.shards {
		t.shards[i].mu.Lock()
		t.shards[i].jobs = make(map[string]*job)
		t.shards[i].mu.Unlock()
	}
	for id, j := range restored {
		s := t.shard(id)
		s.mu.Lock()
		s.jobs[id] = j
		s.mu.Unlock()
	}
	if snapshot.GetCatalog() == nil {
		snapshot.Catalog = &apiv1.Catalog{}
	}
	t.catalog.Store(newCatalog(snapshot.GetCatalog()))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workers = make(map[string]*apiv1.PoolWorker)
	for _, worker := range snapshot.GetWorkers() {
		t.workers[worker.GetId()] = worker
	}
	return nil
}

func restoreJob(p *apiv1.JobProgress) *job {
	j := newJob(p.GetJob())
	j.state, j.finishedUnixMs = p.GetState(), p.GetFinishedUnixMs()
	if j.finished() {
		j.steps = nil
		return j
	}
	specs := p.GetJob().GetSpec().GetSteps()
	for i, sp := range p.GetSteps() {
		if len(sp.GetDone()) == 0 {
			continue
		}
		s := newStepProgress(specs[i%len(specs)])
		copy(s.done, sp.GetDone())
		for _, done := range s.done {
			j.remaining -= int(done)
		}
		for _, failed := range sp.GetFailed() {
			s.failed[failed.GetIndex()] = slices.Clone(failed.GetRuns())
		}
		for index, checkpoint := range sp.GetCheckpoints() {
			s.checkpoints[index] = checkpoint
		}
		j.steps[i] = s
		j.started = true
	}
	return j
}
