package raft

import (
	"math"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// electorate is the set of voters that elect a leader and commit entries. While a membership that changes more than one
// voter is not known to be committed, a majority of the voters before it is needed as well as one of its own: two
// majorities need not have a member in common otherwise.
type electorate struct {
	latest   *apiv1.Membership
	previous *apiv1.Membership // nil: a majority of the latest voters is enough
}

// electorate returns the electorate that the member's log and commit index define.
func (c *Core) electorate() electorate { return c.electorateAt(c.log.committed) }

// electorateAt returns the electorate for another commit index. A membership that follows another one shows that the earlier
// one is committed, so at most the last two count.
func (c *Core) electorateAt(commit uint64) electorate {
	versions := c.members.versions
	latest := versions[len(versions)-1]
	if len(versions) < 2 || latest.index <= commit {
		return electorate{latest: latest.membership}
	}
	previous := versions[len(versions)-2].membership
	if changedVoters(previous, latest.membership) <= 1 {
		return electorate{latest: latest.membership}
	}
	return electorate{latest.membership, previous}
}

// mustStoreCommit reports whether the member would need the previous voters again after a restart, because the commit index
// on its disk is too old.
func (c *Core) mustStoreCommit() bool {
	return c.electorate().previous == nil && c.electorateAt(c.persisted.Commit).previous != nil
}

// changedVoters returns how many incarnations are voters in one membership and not in the other.
func changedVoters(a, b *apiv1.Membership) int {
	common := 0
	for _, voter := range a.GetVoters() {
		if isVoter(b, voter.GetIncarnation()) {
			common++
		}
	}
	return len(a.GetVoters()) + len(b.GetVoters()) - 2*common
}

// hasMajority reports whether the voters for which agrees returns true are a majority.
func (e electorate) hasMajority(agrees func(id uint64) bool) bool {
	return countVoters(e.latest, agrees) >= quorum(e.latest) &&
		(e.previous == nil || countVoters(e.previous, agrees) >= quorum(e.previous))
}

// isBlocked reports whether the voters for which refuses returns true leave no majority.
func (e electorate) isBlocked(refuses func(id uint64) bool) bool {
	blocks := func(m *apiv1.Membership) bool { return countVoters(m, refuses) > len(m.GetVoters())-quorum(m) }
	return blocks(e.latest) || e.previous != nil && blocks(e.previous)
}

// majorityValue returns the highest value that a majority has reached.
func (e electorate) majorityValue(value func(id uint64) uint64) uint64 {
	reached := majorityValue(e.latest, value)
	if e.previous != nil {
		reached = min(reached, majorityValue(e.previous, value))
	}
	return reached
}

// majoritySilence returns the shortest time that a majority has not exceeded.
func (e electorate) majoritySilence(silence func(id uint64) int) int {
	reached := e.majorityValue(func(id uint64) uint64 { return math.MaxInt - uint64(silence(id)) })
	return math.MaxInt - int(reached)
}

// voters returns the voters, those of the latest membership first.
func (e electorate) voters() []*apiv1.MemberInfo {
	voters := e.latest.GetVoters()
	return slices.Concat(voters, e.departing())
}

// departing returns the voters of the previous membership that are no voters of the latest one.
func (e electorate) departing() []*apiv1.MemberInfo {
	return slices.DeleteFunc(slices.Clone(e.previous.GetVoters()), func(m *apiv1.MemberInfo) bool {
		return isVoter(e.latest, m.GetIncarnation())
	})
}

func countVoters(membership *apiv1.Membership, matches func(id uint64) bool) int {
	count := 0
	for _, voter := range membership.GetVoters() {
		if matches(voter.GetIncarnation()) {
			count++
		}
	}
	return count
}

func majorityValue(membership *apiv1.Membership, value func(id uint64) uint64) uint64 {
	values := make([]uint64, 0, len(membership.GetVoters()))
	for _, voter := range membership.GetVoters() {
		values = append(values, value(voter.GetIncarnation()))
	}
	slices.Sort(values)
	return values[len(values)-quorum(membership)]
}

// Electorate returns the memberships of each of which a majority of the voters is needed: the latest one, and the one before
// it while that still counts.
func (c *Core) Electorate() []*apiv1.Membership {
	e := c.electorate()
	if e.previous == nil {
		return []*apiv1.Membership{e.latest}
	}
	return []*apiv1.Membership{e.latest, e.previous}
}

// DepartingVoters returns the voters that the latest membership removes and whose agreement still counts.
func (c *Core) DepartingVoters() []*apiv1.MemberInfo { return c.electorate().departing() }
