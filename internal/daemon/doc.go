// Package daemon wires the roles of one process together: it builds what the
// settings name, serves it, and shuts it down in order.
package daemon
