// Package rpc is the client side of calls to the control processes: it finds
// the leader, retries elsewhere within the caller's deadline, and drops a
// connection whose call timed out, since a connection can go silent for good
// while new ones work.
//
// It resends a call whose answer was lost. Every method of the control
// services is therefore idempotent.
package rpc
