package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Snapshot replaces all entries up to and including Meta.Index.
type Snapshot struct {
	Meta *apiv1.SnapshotMeta
	Data []byte
}

// Index returns the last index that the snapshot covers, or 0 for a nil snapshot.
func (s *Snapshot) Index() uint64 {
	if s == nil {
		return 0
	}
	return s.Meta.GetIndex()
}
