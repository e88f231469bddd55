package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// applyTask is a snapshot to restore, if it is not nil, followed by entries to
// apply.
type applyTask struct {
	snapshot *raft.Snapshot
	entries  []*apiv1.LogEntry
}

// applier applies committed entries to the state machine from one goroutine, and
// takes snapshots of it.
type applier struct {
	config         Config
	stateMachine   StateMachine
	store          *storage.Store
	pending        *pendingProposals
	counters       counters
	savedSnapshots chan uint64   // index of each snapshot saved to disk
	taskPushed     chan struct{} // holds an element if tasks may be queued

	mu      sync.Mutex // guards tasks, applied and waiters
	tasks   []applyTask
	applied uint64 // index
	waiters []appliedWaiter

	// Only used by the goroutine of run.
	membership           *apiv1.Membership // as of the last applied entry
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int64
	snapshotSave         chan error // receives the result of the snapshot being saved; nil: none
}

// appliedWaiter is notified once the state machine has applied index.
type appliedWaiter struct {
	index uint64
	done  chan<- error
}

func newApplier(config Config, store *storage.Store, pending *pendingProposals, c counters) *applier {
	return &applier{
		config:         config,
		stateMachine:   config.StateMachine,
		store:          store,
		pending:        pending,
		counters:       c,
		savedSnapshots: make(chan uint64, 1),
		taskPushed:     make(chan struct{}, 1),
	}
}

// push queues a task. The queue has no limit of its own; it is bounded by the
// number of proposals that the leader admits.
func (a *applier) push(task applyTask) {
	a.mu.Lock()
	a.tasks = append(a.tasks, task)
	a.mu.Unlock()
	select {
	case a.taskPushed <- struct{}{}:
	default:
	}
}

// notifyApplied sends nil to done once the state machine has applied index. done
// must be buffered.
func (a *applier) notifyApplied(index uint64, done chan<- error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index <= a.applied {
		done <- nil
		return
	}
	a.waiters = append(a.waiters, appliedWaiter{index: index, done: done})
}

func (a *applier) appliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// run applies tasks until ctx ends or one fails, then waits for the snapshot
// being saved.
func (a *applier) run(ctx context.Context) error {
	err := a.runTasks(ctx)
	// Wait, since the caller closes the data folder next.
	if saveErr := a.awaitSnapshotSave(); err == nil {
		err = saveErr
	}
	return err
}

func (a *applier) runTasks(ctx context.Context) error {
	for {
		for _, task := range a.takeTasks() {
			if err := a.runTask(ctx, task); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-a.snapshotSave:
			a.snapshotSave = nil
			if err != nil {
				return err
			}
		case <-a.taskPushed:
		}
	}
}

// awaitSnapshotSave waits until the snapshot being saved, if any, is saved, and
// returns the error of that.
func (a *applier) awaitSnapshotSave() error {
	if a.snapshotSave == nil {
		return nil
	}
	return <-a.snapshotSave
}

// takeTasks removes and returns all queued tasks.
func (a *applier) takeTasks() []applyTask {
	a.mu.Lock()
	defer a.mu.Unlock()
	tasks := a.tasks
	a.tasks = nil
	return tasks
}

func (a *applier) runTask(ctx context.Context, task applyTask) error {
	if task.snapshot != nil {
		if err := a.restore(task.snapshot); err != nil {
			return err
		}
	}
	for _, entry := range task.entries {
		if err := a.apply(entry); err != nil {
			return err
		}
	}
	if n := len(task.entries); n > 0 {
		a.advanceApplied(task.entries[n-1].GetIndex())
		return a.maybeSnapshot(ctx, task.entries[n-1])
	}
	return nil
}

func (a *applier) restore(snapshot *raft.Snapshot) error {
	meta := snapshot.Meta
	// The first snapshot of a new cluster has no data: it represents the initial
	// state.
	if meta.GetIndex() > formationIndex {
		if err := a.stateMachine.Restore(snapshot.Data); err != nil {
			return errors.Wrapf(err, "restoring the snapshot at index %d", meta.GetIndex())
		}
	}
	a.membership = meta.GetMembership()
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.advanceApplied(meta.GetIndex())
	return nil
}

func (a *applier) apply(entry *apiv1.LogEntry) error {
	var result *apiv1.CommandResult
	switch entry.GetKind() {
	case apiv1.EntryKind_ENTRY_KIND_COMMAND:
		command := &apiv1.Command{}
		if err := proto.Unmarshal(entry.GetData(), command); err != nil {
			return errors.Wrapf(err, "decoding the command at index %d", entry.GetIndex())
		}
		result = a.stateMachine.Apply(entry.GetIndex(), command)
	case apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership := &apiv1.Membership{}
		if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
			return errors.Wrapf(err, "decoding the membership at index %d", entry.GetIndex())
		}
		a.membership = membership
	}
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += int64(len(entry.GetData()))
	a.counters.applied.Inc(1)
	a.pending.applied(entry.GetIndex(), entry.GetTerm(), result)
	return nil
}

// advanceApplied sets the applied index and notifies those who wait for it.
func (a *applier) advanceApplied(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = index
	rest := a.waiters[:0]
	for _, w := range a.waiters {
		if w.index <= index {
			w.done <- nil
		} else {
			rest = append(rest, w)
		}
	}
	a.waiters = rest
}

// maybeSnapshot takes a snapshot at last, the last applied entry, if enough was
// applied since the previous one and none is being saved. It is saved to disk
// while further entries are applied.
func (a *applier) maybeSnapshot(ctx context.Context, last *apiv1.LogEntry) error {
	due := a.entriesSinceSnapshot >= a.config.SnapshotEntries || a.bytesSinceSnapshot >= a.config.SnapshotBytes
	if !due || a.snapshotSave != nil {
		return nil
	}
	data, err := a.stateMachine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "taking a snapshot at index %d", last.GetIndex())
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	snapshot := &raft.Snapshot{
		Meta: &apiv1.SnapshotMeta{
			Index:      last.GetIndex(),
			Term:       last.GetTerm(),
			Membership: a.membership,
		},
		Data: data,
	}
	snapshotSave := make(chan error, 1)
	a.snapshotSave = snapshotSave
	go func() { snapshotSave <- a.saveSnapshot(ctx, snapshot) }()
	return nil
}

func (a *applier) saveSnapshot(ctx context.Context, snapshot *raft.Snapshot) error {
	if err := a.store.SaveSnapshot(snapshot); err != nil {
		return err
	}
	a.counters.snapshotsSaved.Inc(1)
	select {
	case a.savedSnapshots <- snapshot.Index():
	case <-ctx.Done():
	}
	return nil
}
