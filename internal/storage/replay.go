package storage

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// logReplay rebuilds the log's entries and hard state from its records.
type logReplay struct {
	entries   []*apiv1.LogEntry // since lastReset, without a gap
	hardState raft.HardState
	lastReset *resetMark // nil if no snapshot replaced the log
}

// lastIndex returns the index of the log's last entry, or of the last reset if no
// entries follow it; 0 for an empty log.
func (r *logReplay) lastIndex() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].GetIndex()
	}
	if r.lastReset != nil {
		return r.lastReset.index
	}
	return 0
}

// apply replays one record. If the record is invalid at this point, it returns the
// reason.
func (r *logReplay) apply(rec record) string {
	switch rec.kind {
	case recordEntry:
		return r.applyEntry(rec.payload)
	case recordHardState:
		hardState, ok := decodeHardState(rec.payload)
		if !ok {
			return "the hard state cannot be decoded"
		}
		r.hardState = hardState
	case recordReset:
		mark := &resetMark{}
		if !decodeUint64s(rec.payload, &mark.index, &mark.term) {
			return "the reset mark cannot be decoded"
		}
		r.lastReset = mark
		r.entries = nil
	case recordSyncMark:
	default:
		return "unexpected record kind in a log segment"
	}
	return ""
}

// applyEntry appends the entry; it replaces any earlier entries from its index on.
func (r *logReplay) applyEntry(payload []byte) string {
	entry := &apiv1.LogEntry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return "the entry cannot be decoded"
	}
	index := entry.GetIndex()
	hasPosition := len(r.entries) > 0 || r.lastReset != nil
	switch {
	case index == 0:
		return "the entry has no index"
	case hasPosition && index > r.lastIndex()+1:
		return "entries before this one are missing"
	case r.lastReset != nil && index <= r.lastReset.index:
		return "the entry is covered by the snapshot that replaced the log"
	}
	if len(r.entries) > 0 && index <= r.lastIndex() {
		first := r.entries[0].GetIndex()
		r.entries = r.entries[:max(index, first)-first]
	}
	r.entries = append(r.entries, entry)
	return ""
}

// matchesSnapshot reports whether the log can be taken to continue the snapshot:
// it holds the snapshot's last entry, or this snapshot replaced the log last.
func (r *logReplay) matchesSnapshot(meta *apiv1.SnapshotMeta) bool {
	if r.lastReset != nil && r.lastReset.index == meta.GetIndex() && r.lastReset.term == meta.GetTerm() {
		return true
	}
	entry := r.entry(meta.GetIndex())
	return entry != nil && entry.GetTerm() == meta.GetTerm()
}

// entry returns the entry at index, or nil if the log does not hold it.
func (r *logReplay) entry(index uint64) *apiv1.LogEntry {
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].GetIndex()
	if index < first || index > r.lastIndex() {
		return nil
	}
	return r.entries[index-first]
}

// hasGapAfter reports whether entries are missing between a snapshot that covers
// index and the start of the log.
func (r *logReplay) hasGapAfter(index uint64) bool {
	if r.lastReset != nil {
		return r.lastReset.index > index
	}
	return len(r.entries) > 0 && r.entries[0].GetIndex() > index
}

// discardThrough discards the entries up to and including index.
func (r *logReplay) discardThrough(index uint64) {
	n := 0
	for n < len(r.entries) && r.entries[n].GetIndex() <= index {
		n++
	}
	r.entries = r.entries[n:]
}
