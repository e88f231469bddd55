package raft

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// entryLog holds the entries since the last compaction.
//
// Invariant: offset <= handed <= committed <= last, and handed <= stable.
type entryLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []*apiv1.LogEntry // entries[i].Index == offset+1+i
	stable     uint64            // last index on this member's disk
	committed  uint64
	handed     uint64 // last index given to the state machine
}

func newEntryLog(offset, offsetTerm uint64, entries []*apiv1.LogEntry) *entryLog {
	l := &entryLog{
		offset:     offset,
		offsetTerm: offsetTerm,
		entries:    entries,
		committed:  offset,
		handed:     offset,
	}
	l.stable = l.last()
	return l
}

func (l *entryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// know it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// isUpToDate reports whether a log that ends with the given entry holds all
// that this one could have committed.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns the entries in [from, to].
func (l *entryLog) slice(from, to uint64) []*apiv1.LogEntry {
	if from > to {
		return nil
	}
	return l.entries[from-l.offset-1 : to-l.offset : to-l.offset]
}

// sliceBytes returns entries from the given index on, up to a total size in
// bytes but at least one.
func (l *entryLog) sliceBytes(from uint64, limit int) []*apiv1.LogEntry {
	size := 0
	to := from - 1
	for to < l.last() {
		size += len(l.entries[to-l.offset].GetData()) + entryOverhead
		if size > limit && to >= from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

// entryOverhead is the encoded size of an entry besides its data, in bytes.
const entryOverhead = 24

func (l *entryLog) append(entries ...*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entry at index and all that follow.
func (l *entryLog) truncateFrom(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("raft: truncating at %d would drop committed entries up to %d", index, l.committed))
	}
	// A full slice expression keeps a Ready's earlier slice intact.
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// conflict returns the index of the first given entry that the log lacks or
// holds with another term; 0 if it holds them all.
func (l *entryLog) conflict(entries []*apiv1.LogEntry) uint64 {
	for _, entry := range entries {
		if !l.matches(entry.GetIndex(), entry.GetTerm()) {
			return entry.GetIndex()
		}
	}
	return 0
}

// lastNotAfter returns the largest index up to the given one whose term is at
// most term. Entries between it and index can't match a log whose entry at
// index has that term.
func (l *entryLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	for ; index > l.offset; index-- {
		have, ok := l.term(index)
		if ok && have <= term {
			return index, have
		}
	}
	if index == l.offset {
		return index, l.offsetTerm
	}
	return index, 0
}

// commitTo raises the commit index; it never falls.
func (l *entryLog) commitTo(index uint64) {
	if index <= l.committed {
		return
	}
	if index > l.last() {
		panic(fmt.Sprintf("raft: commit index %d is past the last entry %d", index, l.last()))
	}
	l.committed = index
}

// applicable returns the entries that may be applied: committed and on disk.
func (l *entryLog) applicable() []*apiv1.LogEntry {
	return l.slice(l.handed+1, min(l.committed, l.stable))
}

func (l *entryLog) unstable() []*apiv1.LogEntry {
	return l.slice(l.stable+1, l.last())
}

// compact forgets the entries up to index, which must be handed out.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.handed)
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.offset:]
	l.entries = append(make([]*apiv1.LogEntry, 0, len(rest)), rest...)
	l.offset, l.offsetTerm = index, term
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(meta *apiv1.SnapshotMeta) {
	*l = *newEntryLog(meta.GetIndex(), meta.GetTerm(), nil)
}
