// Package state implements the replicated state machine. Apply enforces every
// invariant itself and doesn't rely on checks that the proposer made.
//
// The state consists of tables, each with its own lock: the configuration, the
// endpoints, the audit trail, the claims, the tasks and the callers' jobs. Apply
// is deterministic: it reads no clock, uses no random numbers and does not depend
// on map order. Its time is the largest leader_unix_ms of all commands applied so
// far.
//
// A single revision counts the changes of the configuration and of the endpoints.
// A table is changed before the revision of the change becomes visible. A reader
// that loads the revision first and the tables afterwards therefore sees at least
// every change up to that revision.
package state
