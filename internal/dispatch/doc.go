// Package dispatch schedules callers' jobs on the leader: it assigns tasks to
// workers, sends start and stop requests, and processes the workers' reports.
//
// The package stores nothing. The replicated table holds accepted jobs,
// cancellations and the ends of runs; only the workers know which runs are
// active. A new leader therefore queries every worker with a fencing token
// higher than its predecessor's, and waits until the leases of workers that
// don't answer have expired.
//
// The workers and jobs of each service form a pool with its own lock.
package dispatch
