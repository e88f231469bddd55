package jobs

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const shardCount = 16

// Table is the replicated table of jobs, with the catalog and the workers. Apply,
// Snapshot and Restore must be called one at a time. All other methods may be called
// concurrently, also with these three; during Restore they may find only some of the
// jobs, and contents from before and after it side by side.
type Table struct {
	shards  [shardCount]shard
	catalog atomic.Pointer[Catalog]

	observer atomic.Pointer[Observer]

	mu             sync.RWMutex                 // guards the fields below
	workers        map[string]*apiv1.PoolWorker // by id; the newest incarnation
	crashingQueues map[string]int64             // Unix time in ms of the last crash that implicates the queue
}

// shard holds some of the jobs under its own lock.
type shard struct {
	mu   sync.RWMutex
	jobs map[string]*job
}

// Observer is notified of changes as they are applied, including those whose
// proposer no longer waits for the result. Its methods must not block.
type Observer interface {
	JobAccepted(job *apiv1.CallerJob)
	JobCancelled(id string)
	// WorkerChanged passes the worker's new record, which must not be modified.
	WorkerChanged(record *apiv1.PoolWorker)
}

// SetObserver replaces the observer; nil removes it.
func (t *Table) SetObserver(observer Observer) {
	if observer == nil {
		t.observer.Store(nil)
		return
	}
	t.observer.Store(&observer)
}

// New returns an empty table.
func New() *Table {
	t := &Table{workers: make(map[string]*apiv1.PoolWorker), crashingQueues: make(map[string]int64)}
	for i := range t.shards {
		t.shards[i].jobs = make(map[string]*job)
	}
	t.catalog.Store(newCatalog(&apiv1.Catalog{}))
	return t
}

func (t *Table) shard(id string) *shard {
	return &t.shards[xxhash.Sum64String(id)%shardCount]
}

// Apply applies one committed command at the time of the replicated clock.
func (t *Table) Apply(nowUnixMs int64, command *apiv1.JobsCommand) *apiv1.JobsResult {
	result := &apiv1.JobsResult{}
	if published := command.GetCatalog(); published != nil {
		t.publish(published)
	}
	for _, worker := range command.GetWorkers() {
		stored := t.setWorker(worker)
		if observer := t.observer.Load(); observer != nil && stored != nil {
			(*observer).WorkerChanged(stored)
		}
	}
	for i, accepted := range command.GetAccept() {
		var keyDigest []byte
		if i < len(command.GetAcceptKeys()) {
			keyDigest = command.GetAcceptKeys()[i]
		}
		isNew := t.accept(accepted, keyDigest)
		result.Accepted = append(result.Accepted, isNew)
		if observer := t.observer.Load(); observer != nil && isNew {
			(*observer).JobAccepted(accepted)
		}
	}
	for _, end := range command.GetEnds() {
		t.recordRunEnd(nowUnixMs, end)
	}
	for _, id := range command.GetCancel() {
		result.Cancelled = append(result.Cancelled, t.cancel(nowUnixMs, id))
		if observer := t.observer.Load(); observer != nil {
			(*observer).JobCancelled(id)
		}
	}
	for _, id := range command.GetForgetJobs() {
		t.forget(id)
	}
	t.forgetWorkers(command.GetForgetWorkers())
	result.CatalogVersion = t.Catalog().Version()
	return result
}

// Catalog returns the catalog in force.
func (t *Table) Catalog() *Catalog {
	return t.catalog.Load()
}

// accept adds a job and reports whether it was added: it is not if the job is known, or
// if its workspace no longer has the key.
func (t *Table) accept(accepted *apiv1.CallerJob, keyDigest []byte) bool {
	s := t.shard(accepted.GetId())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[accepted.GetId()] != nil || !t.mayAccept(accepted, keyDigest) {
		return false
	}
	s.jobs[accepted.GetId()] = newJob(accepted)
	return true
}

func (t *Table) recordRunEnd(nowUnixMs int64, end *apiv1.RunEnd) {
	s := t.shard(end.GetJob())
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[end.GetJob()]; j != nil && j.recordRunEnd(nowUnixMs, end) {
		t.implicateQueue(nowUnixMs, j.accepted.GetQueue().GetName())
	}
}

// cancel finishes a job as cancelled and reports whether it is known. A job that
// has finished stays as it is.
func (t *Table) cancel(nowUnixMs int64, id string) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return false
	}
	j.finish(nowUnixMs, apiv1.JobState_JOB_STATE_CANCELLED)
	return true
}

// forget deletes a job if it has finished.
func (t *Table) forget(id string) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.finished() {
		delete(s.jobs, id)
	}
}

// State returns a job's state, and false if no such job is known.
func (t *Table) State(id string) (apiv1.JobState, bool) {
	s := t.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[id]
	if j == nil {
		return apiv1.JobState_JOB_STATE_UNSPECIFIED, false
	}
	return j.reportedState(), true
}

// MarkStarted records that a task of the job has been started. The mark is not
// replicated: after a change of leader the new leader sets it again.
func (t *Table) MarkStarted(id string) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil {
		j.started = true
	}
}

// Pending returns how many unfinished jobs of a queue have not started.
func (t *Table) Pending(queue string) int64 {
	var pending int64
	t.forEach(func(j *job) {
		if !j.finished() && !j.started && j.accepted.GetQueue().GetName() == queue {
			pending++
		}
	})
	return pending
}

// Unfinished returns copies of the progress of all jobs that have not finished.
func (t *Table) Unfinished() []*apiv1.JobProgress {
	var unfinished []*apiv1.JobProgress
	t.forEach(func(j *job) {
		if !j.finished() {
			unfinished = append(unfinished, j.progress())
		}
	})
	return unfinished
}

// FinishedBefore returns the ids of up to limit jobs that finished before the given
// time.
func (t *Table) FinishedBefore(unixMs int64, limit int) []string {
	var ids []string
	t.forEach(func(j *job) {
		if j.finished() && j.finishedUnixMs < unixMs && len(ids) < limit {
			ids = append(ids, j.accepted.GetId())
		}
	})
	return ids
}

// forEach calls visit with every job, under the read lock of its shard.
func (t *Table) forEach(visit func(*job)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, j := range s.jobs {
			visit(j)
		}
		s.mu.RUnlock()
	}
}
