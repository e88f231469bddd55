package storage

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// storeContent is the expected content of a data folder. Contents are compared by
// their String.
type storeContent struct {
	hardState     raft.HardState
	snapshotData  string
	snapshotIndex uint64 // 0 without a snapshot
	snapshotTerm  uint64
	entries       []*apiv1.LogEntry // from snapshotIndex+1 on
}

func (c storeContent) lastIndex() uint64 { return c.snapshotIndex + uint64(len(c.entries)) }

func (c storeContent) termAt(index uint64) uint64 {
	if index == c.snapshotIndex {
		return c.snapshotTerm
	}
	return c.entries[index-c.snapshotIndex-1].GetTerm()
}

// withEntry returns the content after the entry replaced those from its index on.
func (c storeContent) withEntry(entry *apiv1.LogEntry) storeContent {
	keep := entry.GetIndex() - c.snapshotIndex - 1
	c.entries = append(c.entries[:keep:keep], entry)
	return c
}

func (c storeContent) withHardState(hardState raft.HardState) storeContent {
	c.hardState = hardState
	return c
}

func (c storeContent) withSnapshot(snapshot *raft.Snapshot, keepEntries bool) storeContent {
	index := snapshot.Index()
	if keepEntries {
		c.entries = c.entries[index-c.snapshotIndex:]
	} else {
		c.entries = nil
	}
	c.snapshotIndex, c.snapshotTerm = index, snapshot.Meta.GetTerm()
	c.snapshotData = string(snapshot.Data)
	return c
}

func (c storeContent) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v snapshot %d/%d %q:", c.hardState, c.snapshotIndex, c.snapshotTerm, c.snapshotData)
	for _, entry := range c.entries {
		fmt.Fprintf(&b, " %d/%d=%d", entry.GetIndex(), entry.GetTerm(), len(entry.GetData()))
	}
	return b.String()
}

func contentOfState(state *State) storeContent {
	c := storeContent{hardState: state.HardState, entries: state.Entries}
	if state.Snapshot != nil {
		c.snapshotIndex, c.snapshotTerm = state.Snapshot.Index(), state.Snapshot.Meta.GetTerm()
		c.snapshotData = string(state.Snapshot.Data)
	}
	return c
}

// crashTest runs drawn operations and failures on a store, and models the contents
// that the store may have after a crash.
type crashTest struct {
	t     *rapid.T
	fs    *memoryFileSystem
	store *Store

	current            storeContent   // with unsynced changes
	possibleAfterCrash []storeContent // if it crashed now
	identity           Identity       // as it was when the store was opened before; zero: never
}

var errInjected = errors.New("injected failure")

const testSegmentSize = 700 // bytes

// uniform10Bits draws a uniform 10-bit integer; rapid's own integers favor small
// values.
var uniform10Bits = rapid.Custom(func(t *rapid.T) int {
	value := 0
	for range 10 {
		value <<= 1
		if rapid.Bool().Draw(t, "bit") {
			value |= 1
		}
	}
	return value
})

func (ct *crashTest) drawBelow(n int) int { return uniform10Bits.Draw(ct.t, "pick") % n }

func (ct *crashTest) openStore() {
	ct.openStoreAfter(nil)
}

// openStoreAfter opens the folder. end is the durable end of a store that failed, or
// nil after a crash.
func (ct *crashTest) openStoreAfter(end *Position) {
	store, state, err := Open(Options{FileSystem: ct.fs, Folder: "data", SegmentSize: testSegmentSize, DurableEnd: end})
	if err != nil {
		ct.t.Fatalf("opening after a crash or failure: %v", err)
	}
	ct.store = store
	if ct.identity != (Identity{}) && store.Identity() != ct.identity {
		ct.t.Fatalf("identity %v after a crash or failure, %v before", store.Identity(), ct.identity)
	}
	ct.identity = store.Identity()
	ct.checkRecovered(contentOfState(state))
}

// checkRecovered checks that the recovered content is a possible one, and makes it
// the current one.
func (ct *crashTest) checkRecovered(recovered storeContent) {
	text := recovered.String()
	for _, c := range ct.possibleAfterCrash {
		if c.String() == text {
			ct.current = c
			ct.possibleAfterCrash = []storeContent{c}
			return
		}
	}
	ct.t.Fatalf("recovered %s, which is none of the %d possible contents; the last of them is %s", text, len(ct.possibleAfterCrash), ct.possibleAfterCrash[len(ct.possibleAfterCrash)-1])
}

// injectFailureLater makes one of the next operations of the file system, and all
// after it, fail.
func (ct *crashTest) injectFailureLater() { ct.failLater(errInjected) }

// killLater kills the process at one of the next operations of the file system.
func (ct *crashTest) killLater() { ct.failLater(errKilled) }

func (ct *crashTest) failLater(failure error) {
	remaining := ct.drawBelow(6)
	writtenBytes := ct.drawBelow(600)
	ct.fs.injectFailure = func(string, string) (int, error) {
		if remaining > 0 {
			remaining--
			return 0, nil
		}
		return writtenBytes, failure
	}
}

func (ct *crashTest) crash() {
	ct.fs.crash(ct.drawBelow)
	ct.openStore()
}

// kill ends the process without a loss of power. What the next one finds is durable once it has opened the folder.
func (ct *crashTest) kill() {
	ct.fs.kill()
	ct.openStore()
}

// succeededOrCrash reports whether err is nil. Otherwise it checks that the store
// stays failed, and simulates a crash.
func (ct *crashTest) succeededOrCrash(err error) bool {
	if err == nil {
		return true
	}
	if errors.Is(err, errKilled) {
		ct.kill()
		return false
	}
	if !errors.Is(err, errInjected) {
		ct.t.Fatalf("unexpected error: %v", err)
	}
	if syncErr := ct.store.Sync(); !errors.Is(syncErr, errInjected) {
		ct.t.Fatalf("Sync after a failed operation: got error %v, want the injected failure", syncErr)
	}
	if ct.drawBelow(2) == 0 {
		ct.crash()
	} else {
		ct.reopenAfterFailure()
	}
	return false
}

// reopenAfterFailure opens the folder again once the disk works, without a crash.
func (ct *crashTest) reopenAfterFailure() {
	if !errors.Is(ct.store.Failure(), ErrUnavailable) {
		ct.t.Fatalf("failure %v is not marked as ErrUnavailable", ct.store.Failure())
	}
	end := ct.store.DurableEnd()
	ct.fs.injectFailure = nil
	if err := ct.store.Close(); err != nil {
		ct.t.Fatal(err)
	}
	ct.openStoreAfter(&end)
}

// append appends up to 3 entries, some of which may replace uncommitted ones, and a
// new hard state.
func (ct *crashTest) append() {
	first := ct.current.lastIndex() + 1
	hardState := ct.current.hardState
	if overwritable := ct.current.lastIndex() - max(ct.current.hardState.Commit, ct.current.snapshotIndex); overwritable > 0 && ct.drawBelow(4) == 0 {
		first -= uint64(ct.drawBelow(int(overwritable)) + 1)
		hardState.Term++
	}
	var entries []*apiv1.LogEntry
	next := ct.current
	for i := range ct.drawBelow(4) {
		entry := &apiv1.LogEntry{Index: first + uint64(i), Term: hardState.Term, Data: make([]byte, ct.drawBelow(300))}
		entries = append(entries, entry)
		next = next.withEntry(entry)
		ct.possibleAfterCrash = append(ct.possibleAfterCrash, next)
	}
	hardState.Vote = uint64(ct.drawBelow(5))
	hardState.Commit = max(hardState.Commit, min(next.lastIndex(), hardState.Commit+uint64(ct.drawBelow(3))))
	ct.current = next.withHardState(hardState)
	ct.possibleAfterCrash = append(ct.possibleAfterCrash, ct.current)
	ct.succeededOrCrash(ct.store.Append(entries, hardState))
}

func (ct *crashTest) sync() {
	if ct.succeededOrCrash(ct.store.Sync()) {
		ct.possibleAfterCrash = []storeContent{ct.current}
	}
}

// saveSnapshot syncs, stores a snapshot of committed entries and compacts the log.
func (ct *crashTest) saveSnapshot() {
	ct.sync()
	index := max(ct.current.snapshotIndex, min(ct.current.hardState.Commit, ct.current.snapshotIndex+uint64(ct.drawBelow(8))))
	if index == ct.current.snapshotIndex {
		return
	}
	snapshot := ct.newSnapshot(index, ct.current.termAt(index))
	ct.current = ct.current.withSnapshot(snapshot, true)
	ct.possibleAfterCrash = append(ct.possibleAfterCrash, ct.current)
	if ct.succeededOrCrash(ct.store.SaveSnapshot(snapshot)) {
		ct.possibleAfterCrash = []storeContent{ct.current}
		ct.succeededOrCrash(ct.store.Compact(index))
	}
}

func (ct *crashTest) newSnapshot(index, term uint64) *raft.Snapshot {
	meta := &apiv1.SnapshotMeta{Index: index, Term: term}
	return &raft.Snapshot{Meta: meta, Data: []byte(fmt.Sprint("state ", index))}
}

// installSnapshot replaces the log with a snapshot beyond its commit index.
func (ct *crashTest) installSnapshot() {
	ct.sync()
	index := max(ct.current.snapshotIndex, ct.current.hardState.Commit) + uint64(ct.drawBelow(10)) + 1
	hardState := ct.current.hardState
	hardState.Term++
	hardState.Commit = index
	snapshot := ct.newSnapshot(index, hardState.Term)
	ct.current = ct.current.withSnapshot(snapshot, false)
	ct.possibleAfterCrash = append(ct.possibleAfterCrash, ct.current)
	if !ct.succeededOrCrash(ct.store.InstallSnapshot(snapshot)) {
		return
	}
	ct.possibleAfterCrash = []storeContent{ct.current}
	ct.current.hardState = hardState
	ct.possibleAfterCrash = append(ct.possibleAfterCrash, ct.current)
	if ct.succeededOrCrash(ct.store.Append(nil, hardState)) {
		ct.sync()
	}
}

func (ct *crashTest) reopen() {
	if ct.fs.injectFailure != nil {
		return
	}
	ct.sync()
	if err := ct.store.Close(); err != nil {
		ct.t.Fatal(err)
	}
	ct.openStore()
}

// TestSyncedContentSurvivesCrashes checks after drawn operations, failures and
// crashes that all synced content is recovered, and nothing that was not written.
func TestSyncedContentSurvivesCrashes(t *testing.T) {
	operations := []func(*crashTest){
		(*crashTest).append, (*crashTest).append, (*crashTest).append, (*crashTest).append,
		(*crashTest).sync, (*crashTest).sync,
		(*crashTest).saveSnapshot, (*crashTest).installSnapshot, (*crashTest).reopen, (*crashTest).crash, (*crashTest).kill, (*crashTest).killLater, (*crashTest).injectFailureLater,
	}
	rapid.Check(t, func(t *rapid.T) {
		ct := &crashTest{t: t, fs: newMemoryFileSystem(), possibleAfterCrash: []storeContent{{}}}
		ct.openStore()
		if err := ct.store.Form("cluster-a", ct.newSnapshot(1, 1)); err != nil {
			t.Fatal(err)
		}
		ct.identity = ct.store.Identity()
		ct.current = storeContent{}.withSnapshot(ct.newSnapshot(1, 1), false)
		ct.possibleAfterCrash = []storeContent{ct.current}
		for range ct.drawBelow(120) {
			operations[ct.drawBelow(len(operations))](ct)
		}
		ct.crash()
	})
}
