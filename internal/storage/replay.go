package storage

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// replay rebuilds the log from its records.
type replay struct {
	entries []*apiv1.LogEntry
	state   raft.HardState
	reset   *resetMark // of the snapshot that replaced the log last
}

func (r *replay) last() uint64 {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].GetIndex()
	}
	if r.reset != nil {
		return r.reset.index
	}
	return 0
}

// add takes in one record and returns the reason why it can't follow.
func (r *replay) add(found record) string {
	switch found.kind {
	case recordEntry:
		return r.addEntry(found.payload)
	case recordHardState:
		state, ok := decodeHardState(found.payload)
		if !ok {
			return "the hard state cannot be decoded"
		}
		r.state = state
	case recordReset:
		mark := &resetMark{}
		if !decodeWords(found.payload, &mark.index, &mark.term) {
			return "the reset mark cannot be decoded"
		}
		r.reset = mark
		r.entries = nil
	case recordSynced:
	default:
		return "the record does not belong in a log here"
	}
	return ""
}

func (r *replay) addEntry(payload []byte) string {
	entry := &apiv1.LogEntry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return "the entry cannot be decoded"
	}
	index := entry.GetIndex()
	known := len(r.entries) > 0 || r.reset != nil
	switch {
	case index == 0:
		return "the entry has no index"
	case known && index > r.last()+1:
		return "entries before this one are missing"
	case r.reset != nil && index <= r.reset.index:
		return "the entry is covered by the snapshot that the log continues"
	}
	if len(r.entries) > 0 && index <= r.last() {
		first := r.entries[0].GetIndex()
		r.entries = r.entries[:max(index, first)-first]
	}
	r.entries = append(r.entries, entry)
	return ""
}

// continues reports whether the log continues the snapshot, or can't be told
// from one that does: it holds the snapshot's last entry, or began with it.
func (r *replay) continues(meta *apiv1.SnapshotMeta) bool {
	if r.reset != nil && r.reset.index == meta.GetIndex() && r.reset.term == meta.GetTerm() {
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
	if index < first || index > r.last() {
		return nil
	}
	return r.entries[index-first]
}

// startsAfter reports whether entries between the snapshot and the log are
// missing.
func (r *replay) startsAfter(index uint64) bool {
	if r.reset != nil {
		return r.reset.index > index
	}
	return len(r.entries) > 0 && r.entries[0].GetIndex() > index
}

// dropTo drops the entries up to index.
func (r *replay) dropTo(index uint64) {
	n := 0
	for n < len(r.entries) && r.entries[n].GetIndex() <= index {
		n++
	}
	r.entries = r.entries[n:]
}
