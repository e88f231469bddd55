// Package entry serves callers over HTTP: admission, queueing, forwarding and outcomes.
package entry
