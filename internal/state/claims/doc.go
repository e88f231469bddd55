// Package claims implements the replicated table of claims on the keys of
// non-idempotent requests.
//
// One attempt of one entry claims a request key before anything is sent to an
// endpoint. The first writer wins: later takes of the key are refused and return
// the claim's state. An abort frees the key for other attempts; the aborted attempt
// itself can never win the key again, even if its take is applied after the abort.
package claims
