// Package replica runs one member of the replicated log. It drives the consensus
// core of package raft with a clock, storage and a transport, and applies
// committed commands to the state machine.
package replica
