package raft

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// A new learner was asked first whether its log reaches to the end of the leader's, which took a round trip of the time
// that the replacement of a lost voter has.
func TestNewLearnerIsSentASnapshotAtOnce(t *testing.T) {
	is := is.New(t)
	sim, leader := newCompactedLeader(t)
	learner := sim.beginAddingLearner(t, leader)
	var first *apiv1.RaftMessage
	sim.deliverUnless(func(m *apiv1.RaftMessage) bool {
		if m.GetTo() == learner.id && first == nil {
			first = m
		}
		return false
	})
	is.Equal(first.GetType(), apiv1.RaftMessage_TYPE_SNAPSHOT)
	is.Equal(learner.core.LastIndex(), leader.core.LastIndex())
}
