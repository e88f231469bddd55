// Package tasks is the replicated table of workers, jobs and task attempts. It
// is the last guard of placement: Apply refuses a plan that would break an
// invariant, whoever proposes it.
//
// Apply and Configure are called from one goroutine and are deterministic.
// Jobs and workers are kept in shards, each under its own lock, so that reads
// run beside them.
package tasks
