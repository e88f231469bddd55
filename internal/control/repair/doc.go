// Package repair decides how the membership changes when a voter is lost. The
// decision is a pure function of what the leader sees, one step at a time, and
// depends on the replicated membership alone, so that a new leader goes on
// where its predecessor stopped.
//
// A dead voter is replaced in three steps: a replacement is added as a learner
// and catches up, the dead voter is removed, and the learner is promoted. Clusters
// are formed of an odd number of voters; an even number therefore means that
// one place is free. Removing before promoting needs no vote of the newcomer:
// its loss at any step leaves the cluster as it was.
package repair
