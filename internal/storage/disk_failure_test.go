package storage

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// diskFailureTest appends entries one by one to a store on a disk that fails for some
// operations, and opens the folder again after each failure.
type diskFailureTest struct {
	is     *is.I
	fs     *memoryFileSystem
	store  *Store
	synced uint64 // index of the last entry whose sync succeeded
}

const (
	diskFailureTestEntries  = 24
	diskFailureTestSnapshot = 6 // entries between two snapshots
)

// open opens the folder, as often as the disk refuses it, and checks that it holds
// every synced entry.
func (dt *diskFailureTest) open(end *Position) {
	for {
		store, state, err := Open(Options{FileSystem: dt.fs, Folder: "data", SegmentSize: testSegmentSize, DurableEnd: end})
		if err != nil {
			dt.is.True(errors.Is(err, ErrUnavailable))
			continue
		}
		dt.store = store
		last := state.Snapshot.Index() + uint64(len(state.Entries))
		dt.is.True(last >= dt.synced)
		dt.synced = last
		return
	}
}

func (dt *diskFailureTest) reopen() {
	end := dt.store.DurableEnd()
	dt.is.NoErr(dt.store.Close())
	dt.open(&end)
}

// appendNext appends and syncs the entry after the last synced one, and takes a
// snapshot at times.
func (dt *diskFailureTest) appendNext() error {
	index := dt.synced + 1
	entry := &apiv1.LogEntry{Index: index, Term: 1, Data: make([]byte, 100)}
	if err := dt.store.Append([]*apiv1.LogEntry{entry}, raft.HardState{Term: 1, Commit: dt.synced}); err != nil {
		return err
	}
	if err := dt.store.Sync(); err != nil {
		return err
	}
	dt.synced = index
	if index%diskFailureTestSnapshot != 0 {
		return nil
	}
	snapshot := &raft.Snapshot{Meta: &apiv1.SnapshotMeta{Index: index - 2, Term: 1}, Data: []byte("state")}
	if err := dt.store.SaveSnapshot(snapshot); err != nil {
		return err
	}
	return dt.store.Compact(index - 2)
}

// failOperations makes the given number of operations fail after the first ones. It
// returns a function that reports whether any has failed.
func (dt *diskFailureTest) failOperations(first, count int) func() bool {
	operations := 0
	dt.fs.injectFailure = func(string, string) (int, error) {
		operations++
		if operations > first && operations <= first+count {
			return 7, errInjected
		}
		return 0, nil
	}
	return func() bool { return operations > first }
}

// TestRefusedOperationLosesNothing refuses each operation of the disk in turn, alone and
// with those after it, and then lets the power fail.
func TestRefusedOperationLosesNothing(t *testing.T) {
	for _, refused := range []int{1, 2, 5} {
		t.Run(fmt.Sprintf("%d operations", refused), func(t *testing.T) {
			reached := true
			for first := 0; reached; first++ {
				dt := &diskFailureTest{is: is.New(t), fs: newMemoryFileSystem()}
				dt.open(nil)
				dt.is.NoErr(dt.store.Form("cluster", &raft.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1}}))
				dt.synced = 1
				failed := dt.failOperations(first, refused)
				for dt.synced < diskFailureTestEntries {
					if err := dt.appendNext(); err != nil {
						dt.is.True(errors.Is(err, ErrUnavailable))
						dt.reopen()
					}
				}
				reached = failed()
				dt.fs.crash(func(int) int { return 0 }) // everything that was not synced is lost
				dt.open(nil)
				dt.is.Equal(dt.synced, uint64(diskFailureTestEntries))
			}
		})
	}
}

func TestProbeFindsARefusingDisk(t *testing.T) {
	is := is.New(t)
	fs := newMemoryFileSystem()
	is.NoErr(Probe(fs, "data"))
	is.Equal(len(fs.files), 0) // nothing is left behind
	fs.injectFailure = func(string, string) (int, error) { return 0, errInjected }
	is.True(errors.Is(Probe(fs, "data"), errInjected))
}
