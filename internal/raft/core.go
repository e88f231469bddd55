package raft

import (
	"math/rand/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Core is one member's consensus state. It is not safe for concurrent use.
type Core struct {
	options Options
	id      uint64

	term    uint64
	vote    uint64
	role    Role
	leader  uint64
	log     *entryLog
	members *membershipLog
	random  *rand.Rand

	electionTicks  int // since the leader was heard or the election began
	electionLimit  int // randomized
	heartbeatTicks int

	votes       map[uint64]bool // of a (pre-)candidate; true: granted
	ownVoteDue  bool            // own vote counts once it is on disk
	progress    map[uint64]*progress
	reads       readIndex
	transferee  uint64
	transferAge int // ticks

	saved     HardState // as last handed out
	snapshot  *Snapshot // received, not yet handed out
	messages  []*apiv1.RaftMessage
	afterSync []*apiv1.RaftMessage
	confirmed []ReadState
	current   *Ready // between Ready and Advance
}

// New returns a core with the state found on disk.
func New(options Options) *Core {
	snapshot := options.Snapshot
	c := &Core{
		options: options,
		id:      options.ID,
		term:    options.HardState.Term,
		vote:    options.HardState.Vote,
		log:     newEntryLog(snapshot.GetIndex(), snapshot.GetTerm(), options.Entries),
		members: newMembershipLog(snapshot.GetIndex(), snapshot.GetMembership()),
		random:  rand.New(rand.NewPCG(options.Seed, options.ID)),
	}
	c.members.append(options.Entries)
	c.log.commitTo(min(options.HardState.Commit, c.log.last()))
	c.becomeFollower(max(c.term, c.log.lastTerm()), 0)
	c.saved = c.hardState()
	c.saved.Term = options.HardState.Term
	return c
}

// Term returns the present term.
func (c *Core) Term() uint64 { return c.term }

// Role returns what the member does in the present term.
func (c *Core) Role() Role { return c.role }

// Leader returns the present leader's incarnation; 0 if none is known.
func (c *Core) Leader() uint64 { return c.leader }

// CommitIndex returns the commit index as far as this member knows.
func (c *Core) CommitIndex() uint64 { return c.log.committed }

// LastIndex returns the index of the log's last entry.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Membership returns the present membership. The caller must not change it.
func (c *Core) Membership() *apiv1.Membership { return c.members.latest().membership }

// MembershipAt returns the membership in effect at index, which must not be
// compacted. The caller must not change it.
func (c *Core) MembershipAt(index uint64) *apiv1.Membership { return c.members.at(index) }

// TermAt returns the term of the entry at index, and false if it is unknown.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }

// Compact forgets the entries up to index, which the state machine must have
// been handed. Members that need them are sent a snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(index)
	c.members.compact(c.log.offset)
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// becomeFollower enters the term, which may be the present one.
func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.vote = 0
	}
	c.term = term
	c.leader = leader
	c.role = Follower
	c.resetRole()
}

func (c *Core) resetRole() {
	c.votes = nil
	c.ownVoteDue = false
	c.progress = nil
	c.reads = readIndex{}
	c.transferee = 0
	c.heartbeatTicks = 0
	c.restartElectionTimer(c.options.ElectionTicks)
}

// restartElectionTimer draws a timeout in [shortest, 2*shortest).
func (c *Core) restartElectionTimer(shortest int) {
	c.electionTicks = 0
	c.electionLimit = shortest + c.random.IntN(shortest)
}

// send queues a message that may leave at once.
func (c *Core) send(m *apiv1.RaftMessage) {
	c.messages = append(c.messages, c.address(m))
}

// sendAfterSync queues a message that promises something about this member's
// disk.
func (c *Core) sendAfterSync(m *apiv1.RaftMessage) {
	c.afterSync = append(c.afterSync, c.address(m))
}

func (c *Core) address(m *apiv1.RaftMessage) *apiv1.RaftMessage {
	m.From = c.id
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	return m
}
