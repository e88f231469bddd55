// Package jobs is the replicated table of jobs that callers hand in, of the
// catalog of queues in force, and of the workers that said they exist.
//
// One goroutine applies commands; any number of goroutines read. Everything
// here is a function of the commands alone, so that all members agree. Which
// runs are under way is not kept here: the leader learns that from the workers.
package jobs
