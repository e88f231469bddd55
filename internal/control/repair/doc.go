// Package repair decides how the membership changes when a voter is lost. Each step
// is a pure function of the leader's current view. The progress of a repair shows in
// the replicated membership alone, so a new leader continues where its predecessor
// stopped.
//
// A dead voter is replaced in three steps. A replacement is added as a learner and
// catches up. Of a voter whose disk is lost, the removal comes before the promotion of
// the learner: it can't vote any more, and without it no vote of the learner is required.
// A voter that is only silent may have its disk, so its successor is promoted first, if
// the number of voters to have is known: one more voter then means that one is to be
// removed, one less that one is missing (a vacancy).
package repair
