package raft

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Ready is the work that the driver has to do, in this order:
//
//  1. send Messages; this may overlap with the next step
//  2. store Snapshot, then Entries and HardState, and sync if MustSync
//  3. send MessagesAfterSync
//  4. hand Snapshot and then Committed to the state machine
//  5. call Advance
type Ready struct {
	Messages          []*apiv1.RaftMessage
	Snapshot          *Snapshot         // replaces the whole log if set
	Entries           []*apiv1.LogEntry // the first may overwrite stored entries
	HardState         HardState
	MustSync          bool
	MessagesAfterSync []*apiv1.RaftMessage
	CommittedEntries  []*apiv1.LogEntry // all are on this member's disk
	ReadStates        []ReadState
}

// ReadState is a confirmed read-index round: the member led after the round began.
// State that includes Index is linearizable for the round's requests.
type ReadState struct {
	Round uint64
	Index uint64
}
