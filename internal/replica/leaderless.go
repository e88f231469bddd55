package replica

import (
	"fmt"
	"time"
)

// leaderlessLogInterval is how long a member must have known no leader to log that, and the time between two such
// lines.
const leaderlessLogInterval = 2 * time.Second

// leaderless is since when this member has known no leader.
type leaderless struct {
	since  time.Time // zero: it knows one
	logged time.Time
}

// logLeaderless logs why this member may know no leader, once that has lasted.
func (r *Replica) logLeaderless(now time.Time) {
	if r.core.Leader() != 0 || r.store.Identity().ClusterID == "" {
		r.leaderless = leaderless{}
		return
	}
	if r.leaderless.since.IsZero() {
		r.leaderless.since, r.leaderless.logged = now, now
	}
	if now.Sub(r.leaderless.logged) < leaderlessLogInterval {
		return
	}
	r.leaderless.logged = now
	election, identity := r.core.Election(), r.store.Identity()
	var voters []string
	for _, voter := range r.core.Membership().GetVoters() {
		id, vote := voter.GetIncarnation(), "no response"
		if granted, responded := election.Votes[id]; responded {
			vote = map[bool]string{true: "granted", false: "refused"}[granted]
		}
		text := fmt.Sprintf("%s (%x) at %s: vote %s", voter.GetName(), id, voter.GetAddress(), vote)
		if failure := r.transport.lastFailure(id); failure != "" {
			text += "; last call failed: " + failure
		}
		voters = append(voters, text)
	}
	r.config.Logger.Info("no leader", "since_ms", now.Sub(r.leaderless.since).Milliseconds(), "role", election.Role.String(),
		"term", r.core.Term(), "campaigns", election.Campaigns, "may_campaign", election.MayCampaign, "incarnation", fmt.Sprintf("%x", identity.Incarnation),
		"last_index", election.LastIndex, "last_term", election.LastTerm, "commit", r.core.CommitIndex(),
		"sync_ms", r.syncTimes.typical().Milliseconds(), "voters", voters)
}
