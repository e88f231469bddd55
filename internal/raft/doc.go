// Package raft implements the Raft consensus algorithm for the replicated log
// as a deterministic state machine without clock, goroutines or I/O.
//
// The driver calls Step for each message received, Tick at a fixed interval,
// and Propose, ReadIndex, ChangeMembership and TransferLeadership on request.
// After each batch of inputs it takes a Ready, processes it in the order that
// Ready documents, and calls Advance. Between Ready and Advance no other method
// may be called.
//
// A member is identified by its incarnation: a random identifier generated when
// a data folder is first used. A VM that lost its disk comes back as a new
// incarnation, so no member ever forgets a vote that it cast or an entry that it
// acknowledged.
package raft
