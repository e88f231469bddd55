package repair_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// The successor of a gone voter was given up once the voter's VM accepted a connection, with nothing heard from it.
func TestLearnerIsKeptWhileTheVoterOnlyAcceptsConnections(t *testing.T) {
	silent := peerAnswering("c", 0, "")
	silent.Connected = true
	for _, caughtUp := range []bool{false, true} {
		action := onlyAction(t, repair.View{
			ClusterID: clusterID, Policy: policy,
			Voters:   []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, deadAfter)},
			Learners: []repair.Member{learner("d", 4, caughtUp)},
			Peers:    []repair.Peer{silent, peerAnswering("d", 4, clusterID)},
		})
		is.New(t).True(action.Kind != repair.RemoveMember)
	}
}
