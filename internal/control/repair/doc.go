// Package repair decides how the membership changes when a voter is lost. Each step
// is a pure function of the leader's current view. The progress of a repair shows in
// the replicated membership alone, so a new leader continues where its predecessor
// stopped.
//
// A dead voter is replaced in three steps: a replacement is added as a learner and
// catches up, the dead voter is removed, and the learner is promoted. Clusters are
// formed with an odd number of voters; an even number therefore means that one
// voter is missing (a vacancy). Removing before promoting requires no vote of the
// learner: its loss at any step leaves the cluster as it was.
package repair
