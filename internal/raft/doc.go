// Package raft is the consensus core of the replicated log: a deterministic
// state machine without clock, goroutine or I/O.
//
// The driver calls Step for each message received, Tick at a fixed interval,
// and Propose, ReadIndex, ChangeMembership and TransferLeader on request. After
// each group of inputs it takes a Ready, carries it out in the order that Ready
// documents, and calls Advance. Between Ready and Advance no other method may
// be called.
//
// Members are incarnations: random identifiers made when a data folder is first
// used. A machine that lost its disk comes back as another incarnation, so a
// member that votes or acknowledges never forgets that it did.
package raft
