// Package balance chooses an endpoint for each request of an entry. Its subpackage
// shares divides the endpoints' slots among the entries.
package balance
