// Package lease implements the leases of entries, workers and endpoints.
//
// The holder measures its lease from the moment it sent the renewal, and the
// granter from the moment it answered it, each by its own clocks. A renewal is
// answered only after it was sent, so the lease expires at the holder before it
// expires at the granter, as long as the rates of the two clocks differ by less
// than the drift allowance. Clock values of different processes are never
// compared.
package lease
