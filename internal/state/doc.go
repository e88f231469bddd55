// Package state is the replicated state machine. Apply is the last guard of
// each invariant, whoever proposes.
//
// The state consists of tables, each under its own lock: the configuration,
// the endpoints, the audit trail, the claims and the tasks. Apply is
// deterministic: it reads no clock, draws no random number and does not depend
// on the order of a map. Its notion of time is the largest leader_unix_ms of
// all commands applied so far.
//
// One revision counts the changes of the configuration and of the endpoints.
// A table is changed before the revision that covers the change is shown, so
// a reader that takes the revision first and then reads the tables sees at
// least everything up to that revision.
package state
