package raft

import (
	"math/rand/v2"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Core is the consensus state of one member. It is not safe for concurrent use.
type Core struct {
	options Options
	id      uint64

	term    uint64
	vote    uint64 // incarnation voted for in term; 0: none
	role    Role
	leader  uint64 // incarnation; 0: unknown
	log     *entryLog
	members *membershipLog
	random  *rand.Rand

	electionTicks        int       // since the last message from the leader, vote or pre-vote granted, or campaign begun
	electionTimeoutTicks int       // randomized for each wait
	electionDraw         float64   // of the current election timeout, in [0, 1)
	retryTicks           int       // until a (pre-)candidate asks again those that have not answered
	heartbeatTicks       int       // since the last heartbeat sent as leader
	syncTicks            int       // that a sync takes, see SetSyncTicks
	messageTicks         int       // that a message takes, see SetMessageTicks
	campaigns            int       // begun since a leader was last known, or before this member was elected
	deferred             bool      // to another pre-candidate, see deferTo
	campaignTicks        int       // since this member's pre-campaign, or its campaign in term, began
	promised             uint64    // incarnation that was last granted a vote or pre-vote; 0: none
	promiseTicks         int       // since then
	quorumSilence        int       // ticks since a majority had responded to the leader, at the last tick
	responses            recentMax // ticks that a majority took to respond to this member
	silenceTicks         int       // since the last message from the leader
	heardInTerm          uint64    // term of that message; 0: none
	silences             recentMax // ticks between messages of a leader

	preVotes       map[uint64]bool      // responses to a pre-candidate by incarnation; true: granted
	votes          map[uint64]bool      // responses to this member's campaign in term, also after it gave up waiting; nil: none
	ownVotePending bool                 // a candidate's own vote, to be counted once it is on disk
	progress       map[uint64]*progress // of all members by incarnation; only on the leader
	reads          readRounds           // only on the leader
	transferee     uint64               // incarnation that leadership is transferred to; 0: none
	transferTicks  int                  // since the leadership transfer began

	persisted    HardState            // as in the last Ready that was synced
	snapshot     *Snapshot            // received, not yet returned in a Ready
	messages     []*apiv1.RaftMessage // may be sent at once
	afterSync    []*apiv1.RaftMessage // may be sent after the next sync
	readStates   []ReadState          // confirmed, not yet returned in a Ready
	pendingReady *Ready               // set between Ready and Advance
}

// New returns a follower that continues from the state found on disk.
func New(options Options) *Core {
	snapshot := options.Snapshot
	c := &Core{
		options:   options,
		id:        options.ID,
		term:      options.HardState.Term,
		vote:      options.HardState.Vote,
		log:       newEntryLog(snapshot.GetIndex(), snapshot.GetTerm(), options.Entries),
		members:   newMembershipLog(snapshot.GetIndex(), snapshot.GetMembership()),
		random:    rand.New(rand.NewPCG(options.Seed, options.ID)),
		responses: recentMax{window: maxElectionStretch * options.ElectionTicks},
		silences:  recentMax{window: maxElectionStretch * options.ElectionTicks},
	}
	c.members.append(options.Entries)
	c.log.commitTo(min(options.HardState.Commit, c.log.last()))
	c.becomeFollower(max(c.term, c.log.lastTerm()), 0)
	c.persisted = c.hardState()
	c.persisted.Term = options.HardState.Term
	return c
}

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the member's role in the current term.
func (c *Core) Role() Role { return c.role }

// Leader returns the incarnation of the current leader, or 0 if none is known.
func (c *Core) Leader() uint64 { return c.leader }

// CommitIndex returns the highest index that this member knows to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.committed }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Membership returns the latest membership in the log, which is in effect even
// before it is committed. The caller must not modify it.
func (c *Core) Membership() *apiv1.Membership { return c.members.latest().membership }

// MembershipAt returns the membership in effect at index, which must not be
// compacted. The caller must not modify it.
func (c *Core) MembershipAt(index uint64) *apiv1.Membership { return c.members.at(index) }

// TermAt returns the term of the entry at index, or false if it is unknown: the
// entry is past the end of the log or before the last compacted one.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }

// Compact discards the entries up to and including index, or up to the last
// entry delivered to the state machine if that is lower. Members that still
// need discarded entries are sent a snapshot instead.
func (c *Core) Compact(index uint64) {
	c.log.compact(index)
	c.members.compact(c.log.compactedIndex)
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// becomeFollower makes the member a follower in term, which may be the current
// one. The vote is kept unless the term changes.
func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == Leader && c.campaigns > 0 {
		c.campaigns-- // the one that was won
	}
	if term != c.term {
		c.silences.reset()
		c.vote = 0
		c.votes = nil
		c.ownVotePending = false
	}
	c.term = term
	c.leader = leader
	c.role = Follower
	c.resetRole()
}

// resetRole clears the state of the previous role and restarts the election
// timer.
func (c *Core) resetRole() {
	c.preVotes = nil
	c.progress = nil
	c.reads = readRounds{}
	c.transferee = 0
	c.heartbeatTicks = 0
	c.restartElectionTimer(c.shortestElectionTicks())
}

// restartElectionTimer draws a random election timeout in
// [shortest, 2*shortest) ticks.
func (c *Core) restartElectionTimer(shortest int) {
	c.electionTicks = 0
	c.drawElectionTimeout(shortest)
}

func (c *Core) drawElectionTimeout(shortest int) {
	c.electionDraw = c.random.Float64()
	c.scaleElectionTimeout(shortest)
}

// scaleElectionTimeout sets the election timeout for another shortest one, without another draw: the members' timeouts
// would approach the shortest one if it changed often.
func (c *Core) scaleElectionTimeout(shortest int) {
	c.electionTimeoutTicks = shortest + int(c.electionDraw*float64(shortest))
}

// send queues a message that may be sent before this member's state is synced.
func (c *Core) send(m *apiv1.RaftMessage) {
	c.messages = append(c.messages, c.fillHeader(m))
}

// sendAfterSync queues a message that relies on state of this member, such as a
// vote or appended entries, and may be sent only once that state is on disk.
func (c *Core) sendAfterSync(m *apiv1.RaftMessage) {
	c.afterSync = append(c.afterSync, c.fillHeader(m))
}

// fillHeader sets the sender and, if it is not set yet, the term.
func (c *Core) fillHeader(m *apiv1.RaftMessage) *apiv1.RaftMessage {
	m.From = c.id
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	return m
}
