package jobs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Snapshot encodes the jobs, the catalog, the workers and the crashing queues, but not the marks of
// MarkBegun; equal contents give equal bytes. It must not run concurrently with Apply
// or Restore.
func (t *Table) Snapshot() ([]byte, error) {
	snapshot := &apiv1.JobsSnapshot{Catalog: t.Catalog().published, Workers: t.Workers(), CrashingQueues: t.CrashingQueues()}
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

// Restore replaces the jobs, the catalog and the workers with those that Snapshot
// encoded. It returns an error only if decoding fails; the table is then unchanged. The
// decoded contents are not checked. The observer stays and is not notified. Restore
// must not run concurrently with Apply or Snapshot.
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
	t.crashingQueues = make(map[string]int64)
	maps.Copy(t.crashingQueues, snapshot.GetCrashingQueues())
	for _, worker := range snapshot.GetWorkers() {
		t.workers[worker.GetId()] = worker
	}
	return nil
}

// restoreJob returns the job that progress describes, and keeps its job message. An
// unfinished job counts as begun if the end of a run of any of its steps is recorded.
// The steps of progress must fit the job's spec.
func restoreJob(progress *apiv1.JobProgress) *job {
	j := newJob(progress.GetJob())
	j.state, j.finishedUnixMs = progress.GetState(), progress.GetFinishedUnixMs()
	if j.finished() {
		j.steps = nil
		return j
	}
	specs := progress.GetJob().GetSpec().GetSteps()
	for i, sp := range progress.GetSteps() {
		if len(sp.GetDone()) == 0 {
			continue
		}
		spec := specs[i%len(specs)]
		s := newStepProgress(spec)
		if !spec.GetLongRunning() { // earlier versions recorded these as done
			copy(s.done, sp.GetDone())
		}
		for _, done := range s.done {
			j.remaining -= int(done)
		}
		for _, failed := range sp.GetFailed() {
			s.failed[failed.GetIndex()] = slices.Clone(failed.GetRuns())
		}
		for _, crashed := range sp.GetCrashed() {
			s.crashes[crashed.GetIndex()] = Crashes{
				Runs: slices.Clone(crashed.GetRuns()), AttributedRuns: slices.Clone(crashed.GetAttributedRuns()),
				AloneRuns: slices.Clone(crashed.GetAloneRuns()),
			}
		}
		for index, checkpoint := range sp.GetCheckpoints() {
			s.checkpoints[index] = checkpoint
		}
		j.steps[i] = s
		j.started = j.started || len(sp.GetCrashed()) == 0 || s.reported()
	}
	return j
}

// reported reports whether a worker has reported the end of a run of the step.
func (s *stepProgress) reported() bool {
	return slices.Contains(s.done, 1) || len(s.failed) > 0 || len(s.checkpoints) > 0
}
