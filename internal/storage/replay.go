package storage

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// replay rebuilds the log from its records.
type replay struct {
	entries   []*apiv1.LogEntry
	hardState raft.HardState
	lastReset *resetMark // of the snapshot that replaced the log last
}

func (r *replay) lastIndex() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].GetIndex()
	}
	if r.lastReset != nil {
		return r.lastReset.index
	}
	return 0
}

// apply takes in one record and returns the reason why it can't follow.
func (r *replay) apply(rec record) string {
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
		return "the record does not belong in a log here"
	}
	return ""
}

func (r *replay) applyEntry(payload []byte) string {
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
		return "the entry is covered by the snapshot that the log continues"
	}
	if len(r.entries) > 0 && index <= r.lastIndex() {
		first := r.entries[0].GetIndex()
		r.entries = r.entries[:max(index, first)-first]
	}
	r.entries = append(r.entries, entry)
	return ""
}

// matchesSnapshot reports whether the log continues the snapshot, or can't be told
// from one that does: it holds the snapshot's last entry, or began with it.
func (r *replay) matchesSnapshot(meta *apiv1.SnapshotMeta) bool {
	if r.lastReset != nil && r.lastReset.index == meta.GetIndex() && r.lastReset.term == meta.GetTerm() {
		return true
	}
	entry := r.entry(meta.GetIndex())
	return entry != nil && entry.GetTerm() == meta.GetTerm()
}

func (r *replay) entry(index uint64) *apiv1.LogEntry {
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].GetIndex()
	if index < first || index > r.lastIndex() {
		return nil
	}
	return r.entries[index-first]
}

// hasGapAfter reports whether entries between the snapshot and the log are
// missing.
func (r *replay) hasGapAfter(index uint64) bool {
	if r.lastReset != nil {
		return r.lastReset.index > index
	}
	return len(r.entries) > 0 && r.entries[0].GetIndex() > index
}

// discardThrough drops the entries up to index.
func (r *replay) discardThrough(index uint64) {
	n := 0
	for n < len(r.entries) && r.entries[n].GetIndex() <= index {
		n++
	}
	r.entries = r.entries[n:]
}
