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

// storeContent is what a data folder holds, as text that can be compared.
type storeContent struct {
	hardState     raft.HardState
	snapshotData  string
	snapshotIndex uint64 // index that the snapshot covers
	snapshotTerm  uint64
	entries       []*apiv1.LogEntry // after base
}

func (c storeContent) lastIndex() uint64 { return c.snapshotIndex + uint64(len(c.entries)) }

func (c storeContent) termAt(index uint64) uint64 {
	if index == c.snapshotIndex {
		return c.snapshotTerm
	}
	return c.entries[index-c.snapshotIndex-1].GetTerm()
}

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

// crashTest drives a store by drawn operations and failures, and knows what it
// may hold after a crash.
type crashTest struct {
	t     *rapid.T
	fs    *memoryFileSystem
	store *Store

	current            storeContent
	possibleAfterCrash []storeContent // after a crash at this moment
}

var errInjected = errors.New("injected failure")

const testSegmentSize = 700

// uniform10Bits draws 10 bits; the library's integers favour small values.
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

func (h *crashTest) drawBelow(n int) int { return uniform10Bits.Draw(h.t, "pick") % n }

func (h *crashTest) openStore() {
	store, state, err := Open(Options{FileSystem: h.fs, Folder: "data", SegmentSize: testSegmentSize})
	if err != nil {
		h.t.Fatalf("opening after a crash: %v", err)
	}
	h.store = store
	h.checkRecovered(contentOfState(state))
}

// checkRecovered checks the recovered content and makes it the present one.
func (h *crashTest) checkRecovered(recovered storeContent) {
	text := recovered.String()
	for _, c := range h.possibleAfterCrash {
		if c.String() == text {
			h.current = c
			h.possibleAfterCrash = []storeContent{c}
			return
		}
	}
	h.t.Fatalf("recovered %s, but %d contents were possible, the last %s", text, len(h.possibleAfterCrash), h.possibleAfterCrash[len(h.possibleAfterCrash)-1])
}

// injectFailureLater lets an operation some way ahead, and all after it, fail.
func (h *crashTest) injectFailureLater() {
	remaining := h.drawBelow(6)
	writtenBytes := h.drawBelow(600)
	h.fs.injectFailure = func(string, string) (int, error) {
		if remaining > 0 {
			remaining--
			return 0, nil
		}
		return writtenBytes, errInjected
	}
}

func (h *crashTest) crash() {
	h.fs.crash(h.drawBelow)
	h.openStore()
}

// succeededOrCrash crashes the store after a failed operation.
func (h *crashTest) succeededOrCrash(err error) bool {
	if err == nil {
		return true
	}
	if !errors.Is(err, errInjected) {
		h.t.Fatalf("unexpected error: %v", err)
	}
	if syncErr := h.store.Sync(); !errors.Is(syncErr, errInjected) {
		h.t.Fatalf("a failed store went on: %v", syncErr)
	}
	h.crash()
	return false
}

func (h *crashTest) append() {
	first := h.current.lastIndex() + 1
	hardState := h.current.hardState
	if overwritable := h.current.lastIndex() - max(h.current.hardState.Commit, h.current.snapshotIndex); overwritable > 0 && h.drawBelow(4) == 0 {
		first -= uint64(h.drawBelow(int(overwritable)) + 1)
		hardState.Term++
	}
	var entries []*apiv1.LogEntry
	next := h.current
	for i := range h.drawBelow(4) {
		entry := &apiv1.LogEntry{Index: first + uint64(i), Term: hardState.Term, Data: make([]byte, h.drawBelow(300))}
		entries = append(entries, entry)
		next = next.withEntry(entry)
		h.possibleAfterCrash = append(h.possibleAfterCrash, next)
	}
	hardState.Vote = uint64(h.drawBelow(5))
	hardState.Commit = max(hardState.Commit, min(next.lastIndex(), hardState.Commit+uint64(h.drawBelow(3))))
	h.current = next.withHardState(hardState)
	h.possibleAfterCrash = append(h.possibleAfterCrash, h.current)
	h.succeededOrCrash(h.store.Append(entries, hardState))
}

func (h *crashTest) sync() {
	if h.succeededOrCrash(h.store.Sync()) {
		h.possibleAfterCrash = []storeContent{h.current}
	}
}

// saveSnapshot stores a snapshot of committed entries and compacts the log.
func (h *crashTest) saveSnapshot() {
	h.sync()
	index := max(h.current.snapshotIndex, min(h.current.hardState.Commit, h.current.snapshotIndex+uint64(h.drawBelow(8))))
	if index == h.current.snapshotIndex {
		return
	}
	snapshot := h.newSnapshot(index, h.current.termAt(index))
	h.current = h.current.withSnapshot(snapshot, true)
	h.possibleAfterCrash = append(h.possibleAfterCrash, h.current)
	if h.succeededOrCrash(h.store.SaveSnapshot(snapshot)) {
		h.possibleAfterCrash = []storeContent{h.current}
		h.succeededOrCrash(h.store.Compact(index))
	}
}

func (h *crashTest) newSnapshot(index, term uint64) *raft.Snapshot {
	meta := &apiv1.SnapshotMeta{Index: index, Term: term}
	return &raft.Snapshot{Meta: meta, Data: []byte(fmt.Sprint("state ", index))}
}

// installSnapshot replaces the log by a snapshot ahead of it or of its commit index.
func (h *crashTest) installSnapshot() {
	h.sync()
	index := max(h.current.snapshotIndex, h.current.hardState.Commit) + uint64(h.drawBelow(10)) + 1
	hardState := h.current.hardState
	hardState.Term++
	hardState.Commit = index
	snapshot := h.newSnapshot(index, hardState.Term)
	h.current = h.current.withSnapshot(snapshot, false)
	h.possibleAfterCrash = append(h.possibleAfterCrash, h.current)
	if !h.succeededOrCrash(h.store.InstallSnapshot(snapshot)) {
		return
	}
	h.possibleAfterCrash = []storeContent{h.current}
	h.current.hardState = hardState
	h.possibleAfterCrash = append(h.possibleAfterCrash, h.current)
	if h.succeededOrCrash(h.store.Append(nil, hardState)) {
		h.sync()
	}
}

func (h *crashTest) reopen() {
	if h.fs.injectFailure != nil {
		return
	}
	h.sync()
	if err := h.store.Close(); err != nil {
		h.t.Fatal(err)
	}
	h.openStore()
}

// TestSyncedContentSurvivesCrashes draws operations, failures and crashes: what
// was synced is always found again, and never anything that was not written.
func TestSyncedContentSurvivesCrashes(t *testing.T) {
	operations := []func(*crashTest){
		(*crashTest).append, (*crashTest).append, (*crashTest).append, (*crashTest).append,
		(*crashTest).sync, (*crashTest).sync,
		(*crashTest).saveSnapshot, (*crashTest).installSnapshot, (*crashTest).reopen, (*crashTest).crash, (*crashTest).injectFailureLater,
	}
	rapid.Check(t, func(t *rapid.T) {
		h := &crashTest{t: t, fs: newMemoryFileSystem(), possibleAfterCrash: []storeContent{{}}}
		h.openStore()
		if err := h.store.Form("cluster-a", h.newSnapshot(1, 1)); err != nil {
			t.Fatal(err)
		}
		h.current = storeContent{}.withSnapshot(h.newSnapshot(1, 1), false)
		h.possibleAfterCrash = []storeContent{h.current}
		for range h.drawBelow(120) {
			operations[h.drawBelow(len(operations))](h)
		}
		h.crash()
	})
}
