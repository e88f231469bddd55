// Package shares divides the endpoints' slots and connections among entries.
//
// The leader keeps one Ledger a term. Each entry reports at every renewal what
// it may use, and is granted what it may use from then on. The sum of what
// entries may use of an endpoint never exceeds the endpoint's slots and
// connections: what an entry gives up counts as used until its next renewal
// reports less or its lease has run out.
package shares
