// Package intake is the entry's part in callers' jobs: it carries their calls
// to the leader and tells truthfully what became of them.
package intake
