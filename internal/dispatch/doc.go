// Package dispatch is the leader's brain for callers' jobs: it decides which
// task runs on which worker, gives the orders, and takes in what the workers
// report.
//
// Nothing here is stored. Acceptance, cancellation and the ends of runs are in
// the replicated table; which runs are under way is known to the workers alone.
// A new leader asks every worker under a fencing token that is higher than its
// predecessor's, and waits out the leases of those that don't answer.
//
// Each service's workers and jobs form a pool under a lock of its own.
package dispatch
