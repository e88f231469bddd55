package repair_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// Two lost voters were replaced in turn, which took twice as long as the next losses leave.
func TestSeveralVotersAreReplacedAtTheSameTime(t *testing.T) {
	type members = []repair.Member
	type peers = []repair.Peer
	live := members{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	lost := slices.Concat(live, members{member("d", 4, unreachableAfter), member("e", 5, unreachableAfter)})
	gone := slices.Concat(live, members{member("d", 4, deadAfter), member("e", 5, deadAfter)})
	cases := []struct {
		name     string
		voters   members
		learners members
		peers    peers
		kind     repair.Kind
		members  []uint64
		replaced []uint64
	}{
		{"two disks lost", lost, nil, peers{peerAnswering("d", 8, ""), peerAnswering("e", 9, "")}, repair.AddLearner, []uint64{8, 9}, []uint64{0, 0}},
		{"one answers later", lost, members{learner("d", 8, false)}, peers{peerAnswering("d", 8, clusterID), peerAnswering("e", 9, "")}, repair.AddLearner, []uint64{9}, []uint64{0}},
		{"one has caught up", lost, members{learner("d", 8, false), learner("e", 9, true)}, peers{peerAnswering("d", 8, clusterID), peerAnswering("e", 9, clusterID)}, repair.ReplaceVoter, []uint64{9}, []uint64{5}},
		{"both have caught up", lost, members{learner("e", 9, true), learner("d", 8, true)}, peers{peerAnswering("d", 8, clusterID), peerAnswering("e", 9, clusterID)}, repair.ReplaceVoter, []uint64{9, 8}, []uint64{5, 4}},
		{"one disk lost, another VM is gone", slices.Concat(live, members{member("d", 4, deadAfter), member("e", 5, unreachableAfter)}), members{learner("f", 6, true), learner("e", 9, true)}, peers{peerAnswering("e", 9, clusterID), peerAnswering("f", 6, clusterID)}, repair.ReplaceVoter, []uint64{6, 9}, []uint64{4, 5}},
		{"two VMs gone, spares in other domains", gone, nil, peers{peerAnswering("f", 6, ""), peerAnswering("g", 7, ""), peerAnswering("h", 10, ""), peerAnswering("i", 11, "")}, repair.AddLearner, []uint64{6, 7}, []uint64{0, 0}},
		{"two VMs gone, spares in one domain and another", gone, nil, peers{peerAnswering("f", 6, ""), peerAnswering("i", 11, ""), peerAnswering("k", 12, "")}, repair.AddLearner, []uint64{6, 12}, []uint64{0, 0}},
		{"two VMs gone, one spare", gone, nil, peers{peerAnswering("f", 6, "")}, repair.AddLearner, []uint64{6}, []uint64{0}},
		{"one too many learners", slices.Concat(live, members{member("d", 4, 0), member("e", 5, unreachableAfter)}), members{learner("e", 9, false), learner("f", 6, true)}, peers{peerAnswering("e", 9, clusterID), peerAnswering("f", 6, clusterID)}, repair.RemoveMember, []uint64{6}, []uint64{0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			view := repair.View{ClusterID: clusterID, Voters: c.voters, Learners: c.learners, Peers: c.peers, Policy: policy}
			view.Policy.TargetVoters = 5
			var members, replaced []uint64
			for _, action := range repair.Next(view) {
				is.Equal(action.Kind, c.kind)
				members = append(members, action.Member.GetIncarnation())
				replaced = append(replaced, action.Replaced.GetIncarnation())
			}
			is.Equal(members, c.members)
			is.Equal(replaced, c.replaced)
		})
	}
}
