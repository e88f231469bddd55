package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Propose appends one entry per command, at consecutive indexes and in the
// current term, and returns the index of the first. Errors: ErrNotLeader,
// ErrTransferInProgress.
func (c *Core) Propose(commands ...[]byte) (uint64, error) {
	if err := c.mayPropose(); err != nil {
		return 0, err
	}
	entries := make([]*apiv1.LogEntry, len(commands))
	for i, command := range commands {
		entries[i] = &apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND, Data: command}
	}
	first := c.log.last() + 1
	c.appendEntries(entries...)
	c.broadcastAppend()
	return first, nil
}

func (c *Core) mayPropose() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return ErrTransferInProgress
	}
	return nil
}

// ChangeMembership appends an entry with all of the given changes and returns its
// index, or 0 if they are already in effect and committed. The changes take effect as
// soon as they are appended. If they change more than one voter, a majority of the
// voters before is needed as well until they are committed.
//
// Errors: ErrNotLeader; ErrTransferInProgress; ErrChangeInProgress until the
// previous change and an entry of the current term are committed;
// ErrNotCaughtUp if the learner to promote does not respond or lags too far
// behind; ErrInvalidChange, also if fewer than a majority of the voters after the
// change responded within the election timeout, or if the leader would leave together
// with another change of a voter.
func (c *Core) ChangeMembership(changes ...Change) (uint64, error) {
	if err := c.mayPropose(); err != nil {
		return 0, err
	}
	if !c.hasCommittedInTerm() || c.members.latest().index > c.log.committed {
		return 0, ErrChangeInProgress
	}
	membership := c.Membership()
	for _, change := range changes {
		if change.isInEffect(membership) {
			continue
		}
		var err error
		if membership, err = change.apply(membership); err != nil {
			return 0, err
		}
		if change.Kind == PromoteLearner && !c.isCaughtUp(change.Member.GetIncarnation()) {
			return 0, ErrNotCaughtUp
		}
	}
	if membership == c.Membership() {
		return 0, nil
	}
	if changedVoters(c.Membership(), membership) > 1 && !isVoter(membership, c.id) {
		return 0, errors.Wrap(ErrInvalidChange, "a leader only leaves in an entry of its own")
	}
	if active := countVoters(membership, c.isActive); active < quorum(membership) {
		return 0, errors.Wrapf(ErrInvalidChange, "of the %d voters after the change only %d answer",
			len(membership.GetVoters()), active)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		return 0, err
	}
	before := c.Membership()
	c.appendEntries(&apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data})
	for _, learner := range membership.GetLearners() {
		if id := learner.GetIncarnation(); !isMember(before, id) {
			c.progress[id].next = 1 // its disk is empty as a rule, so a probe at the end of the log would cost a round trip
		}
	}
	c.broadcastAppend()
	return c.log.last(), nil
}

// isCaughtUp reports whether the member responds and is at most MaxLearnerLag
// entries behind the commit index, so that its promotion does not stall commits. Its
// log must contain the latest membership, because a member that isn't listed in its own
// log grants no votes.
func (c *Core) isCaughtUp(id uint64) bool {
	p := c.progress[id]
	return p != nil && p.state == replicating &&
		p.ticksSinceResponse < c.options.ElectionTicks &&
		p.match >= c.members.latest().index &&
		p.match+c.options.MaxLearnerLag >= c.log.committed
}
