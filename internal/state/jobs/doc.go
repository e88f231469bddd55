// Package jobs implements the replicated table of the jobs that callers submit,
// the catalog of queues in force and the workers that announced themselves.
//
// One goroutine applies commands; any number of goroutines may read. The
// replicated state depends on the commands alone, so that all members agree. Runs
// in progress are not part of it: the leader learns of them from the workers.
package jobs
