// Package tasks implements the replicated table of workers, jobs and task
// attempts. It enforces the placement invariants: Apply refuses a plan that
// would violate one, no matter which replica proposed it.
//
// Apply and Configure are deterministic and must be called from one goroutine.
// Jobs and workers are sharded, each shard under its own lock, so that other
// goroutines can read concurrently.
package tasks
