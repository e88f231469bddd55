package repair_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// A cluster formed with fewer voters than the stated losses need grows by one
// at a time, and only while all voters answer.
func TestGrow(t *testing.T) {
	spares := []repair.Peer{answering("d", 4, ""), answering("e", 5, "")}
	three := []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, 0)}
	four := slices.Concat(three, []repair.Member{member("d", 4, 0)})
	five := slices.Concat(four, []repair.Member{member("e", 5, 0)})
	lost := []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, lostAfter)}
	cases := []struct {
		name     string
		voters   []repair.Member
		learners []repair.Member
		want     repair.Kind
	}{
		{"a learner is added", three, nil, repair.AddLearner},
		{"it votes once it has caught up", three, []repair.Member{learner("d", 4, true)}, repair.Promote},
		{"not before", three, []repair.Member{learner("d", 4, false)}, repair.None},
		{"four voters get a fifth", four, nil, repair.AddLearner},
		{"five are enough", five, nil, repair.None},
		{"not while a voter is silent", lost, nil, repair.None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			view := repair.View{ClusterID: cluster, Voters: c.voters, Learners: c.learners, Peers: spares, Policy: limits}
			view.Policy.TargetVoters = 5
			is.Equal(repair.Next(view).Kind, c.want)
		})
	}
}
