// Package worker is a small worker for the demo and for tests. It speaks only
// the public Platform service, runs tasks as goroutines and honours its lease:
// tasks stop when it runs out.
package worker
