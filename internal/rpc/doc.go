// Package rpc is the client of the control processes. It finds the leader, retries calls
// at other processes within the caller's deadline, and drops a connection whose call
// timed out: a connection can stay dead while new ones work.
//
// It resends a call whose response was lost. Every method of the control services must
// therefore be idempotent.
package rpc
