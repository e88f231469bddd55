package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Propose appends one entry for each command and returns the first one's index;
// the others follow it, all in the present term. Errors: ErrNotLeader,
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

// ChangeMembership appends a membership change and returns its index, or 0 if
// it was made and committed before. It takes effect at once. Errors: ErrNotLeader, ErrTransferInProgress, ErrChangeInProgress
// until the previous change and an entry of the present term are committed,
// ErrNotCaughtUp, ErrInvalidChange, also if no majority of the voters after the
// change answers at present.
func (c *Core) ChangeMembership(change Change) (uint64, error) {
	if err := c.mayPropose(); err != nil {
		return 0, err
	}
	if !c.committedInTerm() || c.members.latest().index > c.log.committed {
		return 0, ErrChangeInProgress
	}
	if change.isMade(c.Membership()) {
		return 0, nil
	}
	membership, err := change.apply(c.Membership())
	if err != nil {
		return 0, err
	}
	if change.Kind == PromoteLearner && !c.isCaughtUp(change.Member.GetIncarnation()) {
		return 0, ErrNotCaughtUp
	}
	if c.activeVoters(membership) < quorum(membership) {
		return 0, errors.Wrapf(ErrInvalidChange, "of the %d voters after the change only %d answer",
			len(membership.GetVoters()), c.activeVoters(membership))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		return 0, err
	}
	c.appendEntries(&apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data})
	c.broadcastAppend()
	return c.log.last(), nil
}

// isCaughtUp reports whether the member answers and is near the commit index,
// so that a promotion does not stall commits.
func (c *Core) isCaughtUp(id uint64) bool {
	p := c.progress[id]
	return p.state == replicating &&
		p.idleTicks < c.options.ElectionTicks &&
		p.match+c.options.MaxLearnerLag >= c.log.committed
}
