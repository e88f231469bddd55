package replica

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// leaderlessLogInterval is how long a member must have known no leader to log that, and the time between two such
// lines.
const leaderlessLogInterval = 2 * time.Second

// silentAfter is the time without a response after which a process is called silent in the log.
const silentAfter = 2 * time.Second

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
	r.logElection(now)
}

// logElection logs the state of this member's search for a leader, and a line for each other voter, also for the departing
// ones, whose votes are needed until their replacement is committed. What tells most comes first, as collectors may cut lines.
func (r *Replica) logElection(now time.Time) {
	election, membership, departing := r.core.Election(), r.core.Membership(), r.core.DepartingVoters()
	granted, refused := countVotes(membership, election.Votes)
	grantedBefore := 0
	if electorate := r.core.Electorate(); len(electorate) > 1 {
		grantedBefore, _ = countVotes(electorate[1], election.Votes)
	}
	r.config.Logger.Info("no leader", "role", election.Role.String(), "campaigns", election.Campaigns,
		"voters", len(membership.GetVoters()), "granted", granted, "refused", refused, "departing", len(departing), "granted_before", grantedBefore,
		"learners", len(membership.GetLearners()),
		"sync_ms", r.syncTimes.typical().Milliseconds(), "since_ms", now.Sub(r.leaderless.since).Milliseconds(), "term", r.core.Term(),
		"may_campaign", election.MayCampaign, "last_index", election.LastIndex, "last_term", election.LastTerm, "commit", r.core.CommitIndex(),
		"incarnation", formatIncarnation(r.store.Identity().Incarnation))
	for i, voter := range slices.Concat(membership.GetVoters(), departing) {
		if voter.GetIncarnation() != r.store.Identity().Incarnation {
			r.logVoter(now, voter, election.Votes, i >= len(membership.GetVoters()))
		}
	}
}

// countVotes returns how many of the membership's voters have granted and refused their votes.
func countVotes(membership *apiv1.Membership, votes map[uint64]bool) (granted, refused int) {
	for _, voter := range membership.GetVoters() {
		if vote, responded := votes[voter.GetIncarnation()]; vote {
			granted++
		} else if responded {
			refused++
		}
	}
	return granted, refused
}

// logVoter logs what is known of a voter during the search for a leader.
func (r *Replica) logVoter(now time.Time, voter *apiv1.MemberInfo, votes map[uint64]bool, departing bool) {
	id, vote := voter.GetIncarnation(), "none"
	if granted, responded := votes[id]; responded {
		vote = map[bool]string{true: "granted", false: "refused"}[granted]
	}
	calls := r.transport.callsTo(id, now)
	r.config.Logger.Info("no leader: voter", "voter", voter.GetName(), "vote", vote, "process", calls.process(),
		"response_ms_ago", calls.sinceResponse.Milliseconds(), "departing", departing, "unanswered", calls.unanswered, "waited_ms", calls.waited.Milliseconds(),
		"error", calls.failure, "address", voter.GetAddress(), "incarnation", formatIncarnation(id))
}

// process describes the process at the member's address by the last calls to it.
func (s callSummary) process() string {
	switch {
	case s.diskLost:
		return "disk lost"
	case s.sinceResponse < 0 || s.sinceResponse > silentAfter:
		return "silent"
	default:
		return "up"
	}
}

func formatIncarnation(incarnation uint64) string { return fmt.Sprintf("%x", incarnation) }
