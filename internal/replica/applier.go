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

// applyTask is a snapshot to restore, if any, and then entries to apply.
type applyTask struct {
	snapshot *raft.Snapshot
	entries  []*apiv1.LogEntry
}

// applier feeds the state machine from one goroutine and takes its snapshots.
type applier struct {
	config   Config
	machine  StateMachine
	store    *storage.Store
	pending  *pendingProposals
	counters counters
	saved    chan uint64   // index of each snapshot saved
	wake     chan struct{} // a task was pushed

	mu      sync.Mutex
	tasks   []applyTask
	applied uint64
	waiters []appliedWaiter

	// Only used by run's goroutine.
	membership   *apiv1.Membership
	sinceEntries uint64 // applied since the last snapshot
	sinceBytes   int64
	saving       chan error // of the snapshot being saved; nil: none
}

// appliedWaiter is answered once the state machine has reached index.
type appliedWaiter struct {
	index uint64
	done  chan<- error
}

func newApplier(config Config, store *storage.Store, pending *pendingProposals, c counters) *applier {
	return &applier{
		config:   config,
		machine:  config.StateMachine,
		store:    store,
		pending:  pending,
		counters: c,
		saved:    make(chan uint64, 1),
		wake:     make(chan struct{}, 1),
	}
}

// push queues a task. The queue is bounded by the proposals that the leader
// lets wait.
func (a *applier) push(task applyTask) {
	a.mu.Lock()
	a.tasks = append(a.tasks, task)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// notify answers done once the state machine has reached index.
func (a *applier) notify(index uint64, done chan<- error) {
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

func (a *applier) run(ctx context.Context) error {
	err := a.work(ctx)
	// The data folder is closed next.
	if saveErr := a.awaitSaving(); err == nil {
		err = saveErr
	}
	return err
}

func (a *applier) work(ctx context.Context) error {
	for {
		for _, task := range a.take() {
			if err := a.carryOut(ctx, task); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-a.saving:
			a.saving = nil
			if err != nil {
				return err
			}
		case <-a.wake:
		}
	}
}

// awaitSaving waits for the end of a snapshot's save.
func (a *applier) awaitSaving() error {
	if a.saving == nil {
		return nil
	}
	return <-a.saving
}

func (a *applier) take() []applyTask {
	a.mu.Lock()
	defer a.mu.Unlock()
	tasks := a.tasks
	a.tasks = nil
	return tasks
}

func (a *applier) carryOut(ctx context.Context, task applyTask) error {
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
		a.reached(task.entries[n-1].GetIndex())
		return a.maybeSnapshot(ctx, task.entries[n-1])
	}
	return nil
}

func (a *applier) restore(snapshot *raft.Snapshot) error {
	meta := snapshot.Meta
	// A new cluster's first snapshot stands for the state machine's beginning.
	if meta.GetIndex() > formationIndex {
		if err := a.machine.Restore(snapshot.Data); err != nil {
			return errors.Wrapf(err, "restoring the snapshot at index %d", meta.GetIndex())
		}
	}
	a.membership = meta.GetMembership()
	a.sinceEntries, a.sinceBytes = 0, 0
	a.reached(meta.GetIndex())
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
		result = a.machine.Apply(entry.GetIndex(), command)
	case apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership := &apiv1.Membership{}
		if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
			return errors.Wrapf(err, "decoding the membership at index %d", entry.GetIndex())
		}
		a.membership = membership
	}
	a.sinceEntries++
	a.sinceBytes += int64(len(entry.GetData()))
	a.counters.applied.Inc(1)
	a.pending.applied(entry.GetIndex(), entry.GetTerm(), result)
	return nil
}

// reached publishes the applied index and answers those who wait for it.
func (a *applier) reached(index uint64) {
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

// maybeSnapshot takes a snapshot after last if enough was applied since the
// previous one. The file is written beside further entries.
func (a *applier) maybeSnapshot(ctx context.Context, last *apiv1.LogEntry) error {
	due := a.sinceEntries >= a.config.SnapshotEntries || a.sinceBytes >= a.config.SnapshotBytes
	if !due || a.saving != nil {
		return nil
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		return errors.Wrapf(err, "taking a snapshot at index %d", last.GetIndex())
	}
	a.sinceEntries, a.sinceBytes = 0, 0
	snapshot := &raft.Snapshot{
		Meta: &apiv1.SnapshotMeta{
			Index:      last.GetIndex(),
			Term:       last.GetTerm(),
			Membership: a.membership,
		},
		Data: data,
	}
	saving := make(chan error, 1)
	a.saving = saving
	go func() { saving <- a.save(ctx, snapshot) }()
	return nil
}

func (a *applier) save(ctx context.Context, snapshot *raft.Snapshot) error {
	if err := a.store.SaveSnapshot(snapshot); err != nil {
		return err
	}
	a.counters.snapshotsSaved.Inc(1)
	select {
	case a.saved <- snapshot.Index():
	case <-ctx.Done():
	}
	return nil
}
