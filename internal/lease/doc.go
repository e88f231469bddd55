// Package lease holds the one lease rule that entries, workers and endpoints
// share.
//
// The holder counts its lease from the moment it sent the renewal, by its own
// clocks; the granter counts from the moment it last answered. An answer can't
// leave before its request was sent, so the holder's lease always ends first,
// provided that the two clocks' rates differ by less than the drift allowance.
// No clock value is ever compared with another machine's.
package lease
