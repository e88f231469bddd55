package command

import (
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

func TestVotesAreCountedAgainstTheQuorum(t *testing.T) {
	live := &apiv1.Member{Name: "live", Role: "voter", Reachable: true}
	silent := &apiv1.Member{Name: "vm-3", Role: "voter", Problem: "silent since 2026-12-07T20:31:02Z"}
	stalled := &apiv1.Member{Name: "vm-4", Role: "voter", Reachable: true, Problem: "the disk has not answered for 2s"}
	down := &apiv1.Member{Name: "vm-5", Role: "voter"}
	learner := &apiv1.Member{Name: "vm-6", Role: "learner", Reachable: true}
	spare := &apiv1.Member{Name: "vm-7", Role: "spare", Reachable: true}
	for name, tc := range map[string]struct {
		members                 []*apiv1.Member
		voters, live, tolerated int
		missing                 []string
	}{
		"all live":                  {[]*apiv1.Member{live, live, live, live, live}, 5, 5, 2, nil},
		"one silent":                {[]*apiv1.Member{live, live, live, live, silent}, 5, 4, 1, []string{"vm-3: silent since 2026-12-07T20:31:02Z"}},
		"a learner has no vote":     {[]*apiv1.Member{live, live, live, live, learner, spare}, 4, 4, 1, nil},
		"the lost one not removed":  {[]*apiv1.Member{live, live, live, live, live, down}, 6, 5, 1, []string{"vm-5: does not answer, or as another incarnation"}},
		"a stalled disk can't vote": {[]*apiv1.Member{live, live, stalled}, 3, 2, 0, []string{"vm-4: the disk has not answered for 2s"}},
		"the majority is lost":      {[]*apiv1.Member{live, silent, down}, 3, 1, 0, []string{"vm-3: silent since 2026-12-07T20:31:02Z", "vm-5: does not answer, or as another incarnation"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := countVotes(tc.members)
			is.Equal(v.Voters, tc.voters)
			is.Equal(v.VotersLive, tc.live)
			is.Equal(v.ToleratedLosses, tc.tolerated)
			is.Equal(len(v.MissingVoters), len(tc.missing))
			for i, want := range tc.missing {
				is.Equal(v.MissingVoters[i], want)
			}
		})
	}
}
