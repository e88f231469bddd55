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

// content is what a data folder holds, as text that can be compared.
type content struct {
	hard     raft.HardState
	snapshot string
	base     uint64 // index that the snapshot covers
	baseTerm uint64
	entries  []*apiv1.LogEntry // after base
}

func (c content) last() uint64 { return c.base + uint64(len(c.entries)) }

func (c content) term(index uint64) uint64 {
	if index == c.base {
		return c.baseTerm
	}
	return c.entries[index-c.base-1].GetTerm()
}

func (c content) withEntry(entry *apiv1.LogEntry) content {
	keep := entry.GetIndex() - c.base - 1
	c.entries = append(c.entries[:keep:keep], entry)
	return c
}

func (c content) withState(hard raft.HardState) content {
	c.hard = hard
	return c
}

func (c content) withSnapshot(snapshot *raft.Snapshot, keepEntries bool) content {
	index := snapshot.Index()
	if keepEntries {
		c.entries = c.entries[index-c.base:]
	} else {
		c.entries = nil
	}
	c.base, c.baseTerm = index, snapshot.Meta.GetTerm()
	c.snapshot = string(snapshot.Data)
	return c
}

func (c content) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v snapshot %d/%d %q:", c.hard, c.base, c.baseTerm, c.snapshot)
	for _, entry := range c.entries {
		fmt.Fprintf(&b, " %d/%d=%d", entry.GetIndex(), entry.GetTerm(), len(entry.GetData()))
	}
	return b.String()
}

func contentOf(state *State) content {
	c := content{hard: state.HardState, entries: state.Entries}
	if state.Snapshot != nil {
		c.base, c.baseTerm = state.Snapshot.Index(), state.Snapshot.Meta.GetTerm()
		c.snapshot = string(state.Snapshot.Data)
	}
	return c
}

// history drives a store by drawn operations and failures, and knows what it
// may hold after a crash.
type history struct {
	t      *rapid.T
	memory *memory
	store  *Store

	now      content
	possible []content // after a crash at this moment
}

var errInjected = errors.New("injected failure")

const testSegmentSize = 700

// uniform draws 10 bits; the library's integers favour small values.
var uniform = rapid.Custom(func(t *rapid.T) int {
	value := 0
	for range 10 {
		value <<= 1
		if rapid.Bool().Draw(t, "bit") {
			value |= 1
		}
	}
	return value
})

func (h *history) pick(n int) int { return uniform.Draw(h.t, "pick") % n }

func (h *history) open() {
	store, state, err := Open(Options{FileSystem: h.memory, Folder: "data", SegmentSize: testSegmentSize})
	if err != nil {
		h.t.Fatalf("opening after a crash: %v", err)
	}
	h.store = store
	h.expect(contentOf(state))
}

// expect checks the recovered content and makes it the present one.
func (h *history) expect(recovered content) {
	text := recovered.String()
	for _, c := range h.possible {
		if c.String() == text {
			h.now = c
			h.possible = []content{c}
			return
		}
	}
	h.t.Fatalf("recovered %s, but %d contents were possible, the last %s", text, len(h.possible), h.possible[len(h.possible)-1])
}

// failLater lets an operation some way ahead, and all after it, fail.
func (h *history) failLater() {
	left := h.pick(6)
	short := h.pick(600)
	h.memory.fail = func(string, string) (int, error) {
		if left > 0 {
			left--
			return 0, nil
		}
		return short, errInjected
	}
}

func (h *history) crash() {
	h.memory.crash(h.pick)
	h.open()
}

// check crashes the store after a failed operation.
func (h *history) check(err error) bool {
	if err == nil {
		return true
	}
	if !errors.Is(err, errInjected) {
		h.t.Fatalf("unexpected error: %v", err)
	}
	if again := h.store.Sync(); !errors.Is(again, errInjected) {
		h.t.Fatalf("a failed store went on: %v", again)
	}
	h.crash()
	return false
}

func (h *history) append() {
	first := h.now.last() + 1
	hard := h.now.hard
	if overwritable := h.now.last() - max(h.now.hard.Commit, h.now.base); overwritable > 0 && h.pick(4) == 0 {
		first -= uint64(h.pick(int(overwritable)) + 1)
		hard.Term++
	}
	var entries []*apiv1.LogEntry
	next := h.now
	for i := range h.pick(4) {
		entry := &apiv1.LogEntry{Index: first + uint64(i), Term: hard.Term, Data: make([]byte, h.pick(300))}
		entries = append(entries, entry)
		next = next.withEntry(entry)
		h.possible = append(h.possible, next)
	}
	hard.Vote = uint64(h.pick(5))
	hard.Commit = max(hard.Commit, min(next.last(), hard.Commit+uint64(h.pick(3))))
	h.now = next.withState(hard)
	h.possible = append(h.possible, h.now)
	h.check(h.store.Append(entries, hard))
}

func (h *history) sync() {
	if h.check(h.store.Sync()) {
		h.possible = []content{h.now}
	}
}

// save stores a snapshot of committed entries and compacts the log.
func (h *history) save() {
	h.sync()
	index := max(h.now.base, min(h.now.hard.Commit, h.now.base+uint64(h.pick(8))))
	if index == h.now.base {
		return
	}
	snapshot := h.snapshot(index, h.now.term(index))
	h.now = h.now.withSnapshot(snapshot, true)
	h.possible = append(h.possible, h.now)
	if h.check(h.store.SaveSnapshot(snapshot)) {
		h.possible = []content{h.now}
		h.check(h.store.Compact(index))
	}
}

func (h *history) snapshot(index, term uint64) *raft.Snapshot {
	meta := &apiv1.SnapshotMeta{Index: index, Term: term}
	return &raft.Snapshot{Meta: meta, Data: []byte(fmt.Sprint("state ", index))}
}

// install replaces the log by a snapshot ahead of it or of its commit index.
func (h *history) install() {
	h.sync()
	index := max(h.now.base, h.now.hard.Commit) + uint64(h.pick(10)) + 1
	hard := h.now.hard
	hard.Term++
	hard.Commit = index
	snapshot := h.snapshot(index, hard.Term)
	h.now = h.now.withSnapshot(snapshot, false)
	h.possible = append(h.possible, h.now)
	if !h.check(h.store.InstallSnapshot(snapshot)) {
		return
	}
	h.possible = []content{h.now}
	h.now.hard = hard
	h.possible = append(h.possible, h.now)
	if h.check(h.store.Append(nil, hard)) {
		h.sync()
	}
}

func (h *history) reopen() {
	if h.memory.fail != nil {
		return
	}
	h.sync()
	if err := h.store.Close(); err != nil {
		h.t.Fatal(err)
	}
	h.open()
}

// TestSyncedContentSurvivesCrashes draws operations, failures and crashes: what
// was synced is always found again, and never anything that was not written.
func TestSyncedContentSurvivesCrashes(t *testing.T) {
	operations := []func(*history){
		(*history).append, (*history).append, (*history).append, (*history).append,
		(*history).sync, (*history).sync,
		(*history).save, (*history).install, (*history).reopen, (*history).crash, (*history).failLater,
	}
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, memory: newMemory(), possible: []content{{}}}
		h.open()
		if err := h.store.Form("cluster-a", h.snapshot(1, 1)); err != nil {
			t.Fatal(err)
		}
		h.now = content{}.withSnapshot(h.snapshot(1, 1), false)
		h.possible = []content{h.now}
		for range h.pick(120) {
			operations[h.pick(len(operations))](h)
		}
		h.crash()
	})
}
