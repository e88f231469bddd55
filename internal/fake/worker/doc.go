// Package worker implements a simple worker for the demo and for tests. It uses only
// the public Platform service, runs tasks as goroutines and stops all of them when
// its lease expires.
package worker
