// Package claims is the replicated table of non-idempotent requests.
//
// A request key is claimed once, by one attempt of one entry, before anything
// is sent to an endpoint. The first writer wins: later takes of the key are
// refused and shown the claim's state. An aborted claim frees its key for other
// attempts, and its own attempt never wins again, even if its take is applied
// after the abort.
package claims
