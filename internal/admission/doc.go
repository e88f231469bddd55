// Package admission decides whether a new job is accepted, from the rate of its workspace and the
// work that waits before it. It has no clock, locks or I/O: times and the load are passed in, and
// the caller serializes the calls.
package admission
