// Package balance chooses the endpoint for each request and divides endpoints' slots among entries.
package balance
