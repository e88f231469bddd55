// Package state is the replicated state machine. Apply is the last guard of each invariant, whoever proposes.
package state
