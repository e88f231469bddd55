// Package shares divides the endpoints' slots and connections among entries.
//
// Each leader creates an Allocator for its term. At every renewal, an entry reports
// what it may be using and is granted what it may use from then on. The sum of what the
// entries may be using of an endpoint never exceeds the endpoint's slots and
// connections: slots that are revoked from an entry count as used until its next
// renewal reports less or its lease has expired.
package shares
