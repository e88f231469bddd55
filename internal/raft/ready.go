package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Ready is the work that the driver must do, in this order:
//
//  1. Send Messages; this may overlap with the next step.
//  2. Store Snapshot, then Entries and HardState, and sync if MustSync is set.
//  3. Send MessagesAfterSync.
//  4. Deliver Snapshot and then CommittedEntries to the state machine.
//  5. Call Advance.
type Ready struct {
	Messages          []*apiv1.RaftMessage
	Snapshot          *Snapshot         // replaces the whole log; nil: none was received
	Entries           []*apiv1.LogEntry // to store; stored entries from the first one's index on are overwritten
	HardState         HardState
	MustSync          bool
	MessagesAfterSync []*apiv1.RaftMessage
	CommittedEntries  []*apiv1.LogEntry // to apply; all are on this member's disk
	ReadStates        []ReadState
}

// ReadState is a confirmed read-index round: the member was still the leader
// after the round began. Reads of the round's requests are linearizable once the
// state machine has applied Index.
type ReadState struct {
	Round uint64
	Index uint64
}
