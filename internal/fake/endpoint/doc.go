// Package endpoint implements a simple HTTP endpoint that announces itself to the
// entries over HTTP and JSON, echoes request bodies and records the requests that
// it received.
//
// Two paths don't belong to the service: GET /-/record returns the Record as JSON,
// PUT /-/behaviour replaces the Behaviour.
package endpoint
