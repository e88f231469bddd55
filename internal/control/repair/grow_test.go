package repair_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// A cluster with fewer voters than TargetVoters grows by one voter at a time, and only
// while all voters are live.
func TestGrow(t *testing.T) {
	spares := []repair.Peer{peerAnswering("d", 4, ""), peerAnswering("e", 5, "")}
	three := []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	four := slices.Concat(three, []repair.Member{member("d", 4, 0)})
	five := slices.Concat(four, []repair.Member{member("e", 5, 0)})
	oneUnreachable := []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, unreachableAfter)}
	cases := []struct {
		name     string
		voters   []repair.Member
		learners []repair.Member
		want     repair.Kind
	}{
		{"a learner is added", three, nil, repair.AddLearner},
		{"a learner that has caught up is promoted", three, []repair.Member{learner("d", 4, true)}, repair.PromoteLearner},
		{"a learner that is behind is not promoted", three, []repair.Member{learner("d", 4, false)}, repair.None},
		{"a fifth voter is added to four", four, nil, repair.AddLearner},
		{"five are enough", five, nil, repair.None},
		{"no growth while a voter is unreachable", oneUnreachable, nil, repair.None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			view := repair.View{ClusterID: clusterID, Voters: c.voters, Learners: c.learners, Peers: spares, Policy: policy}
			view.Policy.TargetVoters = 5
			is.Equal(onlyAction(t, view).Kind, c.want)
		})
	}
}
