package command

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// votes tells how far the cluster is from losing its majority.
type votes struct {
	Voters          int      `json:"voters"`
	VotersLive      int      `json:"voters_live"`
	ToleratedLosses int      `json:"tolerated_losses"` // disks that may be lost now without losing the majority
	MissingVoters   []string `json:"missing_voters"`   // names, with the reason and the time since when, as far as known
}

// countVotes counts the voters that answer and report no problem. Learners and spares have no vote.
func countVotes(members []*apiv1.Member) votes {
	v := votes{MissingVoters: []string{}}
	for _, member := range members {
		if member.GetRole() != "voter" {
			continue
		}
		v.Voters++
		if member.GetReachable() && member.GetProblem() == "" {
			v.VotersLive++
			continue
		}
		problem := member.GetProblem()
		if problem == "" {
			problem = "does not answer, or as another incarnation"
		}
		v.MissingVoters = append(v.MissingVoters, member.GetName()+": "+problem)
	}
	quorum := v.Voters/2 + 1
	v.ToleratedLosses = max(0, v.VotersLive-quorum)
	return v
}

func (v votes) addRows(t *table) {
	t.add("voters", v.Voters)
	t.add("voters live", v.VotersLive)
	t.add("disk losses tolerated", v.ToleratedLosses)
	for _, missing := range v.MissingVoters {
		t.add("voter missing", missing)
	}
}
