// Package endpoint is a small HTTP endpoint that announces itself over plain
// HTTP and JSON, echoes requests and keeps a record of what it ran.
//
// Besides the service's own paths it serves two: GET /-/record returns the
// Record, PUT /-/behaviour replaces the Behaviour.
package endpoint
