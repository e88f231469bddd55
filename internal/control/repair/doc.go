// Package repair decides how the membership changes when a voter is lost. Each step
// is a pure function of the leader's current view. The progress of a repair shows in
// the replicated membership alone, so a new leader continues where its predecessor
// stopped.
//
// A dead voter is replaced in two steps. A replacement is added as a learner and catches
// up; then it becomes a voter in the entry that removes the dead one. Several voters are
// replaced at the same time. A dead voter keeps its vote until its successor has one,
// since it may have its disk. One voter more than the cluster is to have means that one is to
// be removed, one less that one is missing (a vacancy): leaders of earlier versions
// promoted and removed in separate entries.
package repair
