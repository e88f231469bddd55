// Package replica runs one member of the replicated log: it drives the pure
// consensus core with storage, clock and transport, and feeds committed
// commands to the state machine.
package replica
