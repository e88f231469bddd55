package raft

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// membershipVersion is a membership and the index of the log entry from which it
// is in effect.
type membershipVersion struct {
	index      uint64
	membership *apiv1.Membership
}

// membershipLog holds the memberships in the log by ascending index. The first
// is that of the snapshot. A membership takes effect as soon as its entry is
// appended, and is reverted if the entry is overwritten.
type membershipLog struct {
	versions []membershipVersion
}

func newMembershipLog(index uint64, membership *apiv1.Membership) *membershipLog {
	if membership == nil {
		membership = &apiv1.Membership{}
	}
	return &membershipLog{versions: []membershipVersion{{index, membership}}}
}

func (l *membershipLog) latest() membershipVersion {
	return l.versions[len(l.versions)-1]
}

// at returns the membership in effect at index.
func (l *membershipLog) at(index uint64) *apiv1.Membership {
	for i := len(l.versions) - 1; i > 0; i-- {
		if l.versions[i].index <= index {
			return l.versions[i].membership
		}
	}
	return l.versions[0].membership
}

// append adds the memberships in the entries and reports whether there was any.
func (l *membershipLog) append(entries []*apiv1.LogEntry) bool {
	changed := false
	for _, entry := range entries {
		if entry.GetKind() != apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		membership := &apiv1.Membership{}
		if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
			// Can't happen: entries are written by this package and checksummed
			// on disk.
			panic("raft: membership entry cannot be decoded: " + err.Error())
		}
		l.versions = append(l.versions, membershipVersion{entry.GetIndex(), membership})
		changed = true
	}
	return changed
}

// truncateFrom reverts the memberships of the entries from index on and reports
// whether there was any.
func (l *membershipLog) truncateFrom(index uint64) bool {
	n := len(l.versions)
	for n > 1 && l.versions[n-1].index >= index {
		n--
	}
	changed := n < len(l.versions)
	l.versions = l.versions[:n]
	return changed
}

// compact discards all versions before the one in effect at index.
func (l *membershipLog) compact(index uint64) {
	n := 0
	for n+1 < len(l.versions) && l.versions[n+1].index <= index {
		n++
	}
	l.versions = l.versions[n:]
}

func isVoter(membership *apiv1.Membership, id uint64) bool {
	return findMember(membership.GetVoters(), id) != nil
}

func isLearner(membership *apiv1.Membership, id uint64) bool {
	return findMember(membership.GetLearners(), id) != nil
}

func isMember(membership *apiv1.Membership, id uint64) bool {
	return isVoter(membership, id) || isLearner(membership, id)
}

// findMember returns the member with the given incarnation, or nil.
func findMember(members []*apiv1.MemberInfo, id uint64) *apiv1.MemberInfo {
	for _, member := range members {
		if member.GetIncarnation() == id {
			return member
		}
	}
	return nil
}

// quorum returns the number of voters that form a majority.
func quorum(membership *apiv1.Membership) int {
	return len(membership.GetVoters())/2 + 1
}
