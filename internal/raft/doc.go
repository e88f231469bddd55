// Package raft is the consensus core: a pure, deterministic state machine without clock, goroutine or I/O.
package raft
