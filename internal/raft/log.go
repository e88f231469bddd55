package raft

import (
	"fmt"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// entryLog holds the entries that are not compacted.
//
// Invariant: compactedIndex <= delivered <= committed <= last(), and
// delivered <= stable.
type entryLog struct {
	compactedIndex uint64            // index of the last compacted entry
	compactedTerm  uint64            // its term
	entries        []*apiv1.LogEntry // entries[i].Index == compactedIndex+1+i
	stable         uint64            // last index on this member's disk
	committed      uint64            // commit index
	delivered      uint64            // last index delivered to the state machine
}

func newEntryLog(compactedIndex, compactedTerm uint64, entries []*apiv1.LogEntry) *entryLog {
	l := &entryLog{
		compactedIndex: compactedIndex,
		compactedTerm:  compactedTerm,
		entries:        entries,
		committed:      compactedIndex,
		delivered:      compactedIndex,
	}
	l.stable = l.last()
	return l
}

func (l *entryLog) last() uint64 {
	return l.compactedIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false if it is unknown: the
// entry is past the end of the log or before the last compacted one.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.compactedIndex {
		return l.compactedTerm, true
	}
	if index < l.compactedIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].GetTerm(), true
}

// matches reports whether the entry at index is known to have the given term.
func (l *entryLog) matches(index, term uint64) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// isUpToDate reports whether a candidate's log that ends with the given index
// and term is at least as up to date as this one, so that it contains every
// committed entry of this log.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns the entries in [from, to].
func (l *entryLog) slice(from, to uint64) []*apiv1.LogEntry {
	if from > to {
		return nil
	}
	return l.entries[from-l.compactedIndex-1 : to-l.compactedIndex : to-l.compactedIndex]
}

// sliceLimited returns the entries from the given index on, up to a total size
// of maxBytes, but at least one entry if there is one.
func (l *entryLog) sliceLimited(from uint64, maxBytes int) []*apiv1.LogEntry {
	size := 0
	to := from - 1
	for to < l.last() {
		size += len(l.entries[to-l.compactedIndex].GetData()) + entryOverhead
		if size > maxBytes && to >= from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

// entryOverhead is an estimate of an entry's encoded size without its data, in
// bytes.
const entryOverhead = 24

func (l *entryLog) append(entries ...*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entry at index and all that follow. It panics if one of
// them is committed.
func (l *entryLog) truncateFrom(index uint64) {
	if index <= l.committed {
		panic(fmt.Sprintf("raft: truncating at %d would drop committed entries up to %d", index, l.committed))
	}
	// The full slice expression makes the next append copy, so that entries which
	// an earlier Ready returned are not overwritten.
	keep := index - l.compactedIndex - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// conflict returns the index of the first given entry that the log lacks or has
// with another term, or 0 if the log has them all.
func (l *entryLog) conflict(entries []*apiv1.LogEntry) uint64 {
	for _, entry := range entries {
		if !l.matches(entry.GetIndex(), entry.GetTerm()) {
			return entry.GetIndex()
		}
	}
	return 0
}

// findConflictByTerm returns the largest index up to the given one whose entry
// has at most the given term, and that entry's term (0 if it is compacted).
// Entries after it and up to index can't match a log whose entry at index has
// the given term.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for ; index > l.compactedIndex; index-- {
		have, ok := l.term(index)
		if ok && have <= term {
			return index, have
		}
	}
	if index == l.compactedIndex {
		return index, l.compactedTerm
	}
	return index, 0
}

// commitTo raises the commit index to index; a lower one has no effect. It panics
// if index is past the end of the log.
func (l *entryLog) commitTo(index uint64) {
	if index <= l.committed {
		return
	}
	if index > l.last() {
		panic(fmt.Sprintf("raft: commit index %d is past the last entry %d", index, l.last()))
	}
	l.committed = index
}

// applicable returns the entries that are committed and on this member's disk
// but not yet delivered to the state machine.
func (l *entryLog) applicable() []*apiv1.LogEntry {
	return l.slice(l.delivered+1, min(l.committed, l.stable))
}

// unstable returns the entries that are not yet on this member's disk.
func (l *entryLog) unstable() []*apiv1.LogEntry {
	return l.slice(l.stable+1, l.last())
}

// compact discards the entries up to and including index, but none that is not
// yet delivered to the state machine.
func (l *entryLog) compact(index uint64) {
	index = min(index, l.delivered)
	if index <= l.compactedIndex {
		return
	}
	term, _ := l.term(index)
	rest := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]*apiv1.LogEntry, 0, len(rest)), rest...)
	l.compactedIndex, l.compactedTerm = index, term
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(meta *apiv1.SnapshotMeta) {
	*l = *newEntryLog(meta.GetIndex(), meta.GetTerm(), nil)
}
