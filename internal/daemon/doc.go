// Package daemon builds the roles that a process's settings name, runs them, and
// shuts them down in order.
package daemon
