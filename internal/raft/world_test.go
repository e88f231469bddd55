package raft

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// disk is what a member finds again after a restart.
type disk struct {
	state    HardState
	snapshot *Snapshot
	entries  []*apiv1.LogEntry // after the snapshot
}

func (d *disk) install(snapshot *Snapshot) {
	d.snapshot = snapshot
	d.entries = nil
}

func (d *disk) store(entries []*apiv1.LogEntry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].GetIndex() - d.snapshot.Index() - 1
	d.entries = append(slices.Clone(d.entries[:keep]), entries...)
}

func (d *disk) compact(meta *apiv1.SnapshotMeta) {
	d.entries = slices.Clone(d.entries[meta.GetIndex()-d.snapshot.Index():])
	d.snapshot = &Snapshot{Meta: meta}
}

// member is one incarnation in a world.
type member struct {
	id      uint64
	core    *Core
	disk    disk
	applied uint64
	reads   map[uint64]uint64 // by round: highest index committed anywhere when it began
}

// world holds members and the messages between them, and checks after every
// step what must always hold.
type world struct {
	fail     func(format string, args ...any)
	members  []*member // whose disks exist
	lost     []uint64  // incarnations whose disks are gone
	network  []*apiv1.RaftMessage
	nextID   uint64
	nextRead uint64
	cut      map[uint64]bool // one side of a partition

	leaders   map[uint64]uint64 // by term
	committed []*apiv1.LogEntry // all that any member applied; [i].Index == i+2
	highest   uint64            // commit index of any member, at any time
}

func newWorld(size int, fail func(format string, args ...any)) *world {
	w := &world{fail: fail, leaders: make(map[uint64]uint64)}
	membership := &apiv1.Membership{}
	for range size {
		membership.Voters = append(membership.Voters, w.nextInfo())
	}
	for _, voter := range membership.GetVoters() {
		meta := &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: membership}
		w.add(voter.GetIncarnation(), disk{snapshot: &Snapshot{Meta: meta}})
	}
	w.highest = 1
	return w
}

func (w *world) nextInfo() *apiv1.MemberInfo {
	w.nextID++
	return &apiv1.MemberInfo{Incarnation: w.nextID, Address: fmt.Sprint(w.nextID)}
}

func (w *world) add(id uint64, d disk) *member {
	m := &member{id: id, disk: d}
	w.members = append(w.members, m)
	w.restart(m)
	return m
}

// restart rebuilds the member from its disk; all else is lost.
func (w *world) restart(m *member) {
	options := Options{
		ID:                   m.id,
		ElectionTicks:        4,
		HeartbeatTicks:       1,
		SnapshotTimeoutTicks: 6,
		MaxInflight:          3,
		MaxAppendBytes:       100,
		MaxLearnerLag:        2,
		Seed:                 1,
		HardState:            m.disk.state,
		Entries:              slices.Clone(m.disk.entries),
	}
	if m.disk.snapshot != nil {
		options.Snapshot = m.disk.snapshot.Meta
	}
	m.core = New(options)
	m.applied = m.disk.snapshot.Index()
	m.reads = make(map[uint64]uint64)
}

func (w *world) find(id uint64) *member {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// loseDisk ends the incarnation; a machine that comes back is another one.
func (w *world) loseDisk(m *member) {
	w.members = slices.DeleteFunc(w.members, func(other *member) bool { return other == m })
	w.lost = append(w.lost, m.id)
	w.add(w.nextInfo().GetIncarnation(), disk{})
}

// process carries out the member's work. With crash set it goes down before
// the first sync.
func (w *world) process(m *member, crash bool) {
	for m.core.HasReady() {
		ready := m.core.Ready()
		w.send(ready.Messages)
		if crash && ready.MustSync {
			w.restart(m)
			return
		}
		if ready.Snapshot != nil {
			m.disk.install(ready.Snapshot)
			m.applied = ready.Snapshot.Index()
		}
		if ready.MustSync {
			m.disk.store(ready.Entries)
			m.disk.state = ready.HardState
		}
		w.send(ready.MessagesAfterSync)
		w.apply(m, ready.CommittedEntries)
		w.checkReads(m, ready.ReadStates)
		m.core.Advance()
		w.check(m)
	}
	w.check(m)
}

func (w *world) send(messages []*apiv1.RaftMessage) {
	for _, message := range messages {
		if message.GetType() == apiv1.RaftMessage_TYPE_SNAPSHOT {
			message.Snapshot = w.find(message.GetFrom()).disk.snapshot.Meta
		}
		if w.cut[message.GetFrom()] == w.cut[message.GetTo()] {
			w.network = append(w.network, message)
		}
	}
}

// deliver hands the message at the position to its receiver.
func (w *world) deliver(position int) *member {
	message := w.network[position]
	w.network = slices.Delete(w.network, position, position+1)
	receiver := w.find(message.GetTo())
	if receiver != nil {
		receiver.core.Step(message)
	}
	return receiver
}

// apply checks state machine safety: no two members apply different entries at
// one index.
func (w *world) apply(m *member, entries []*apiv1.LogEntry) {
	for _, entry := range entries {
		if entry.GetIndex() != m.applied+1 {
			w.fail("member %d applied %d after %d", m.id, entry.GetIndex(), m.applied)
		}
		m.applied = entry.GetIndex()
		at := int(entry.GetIndex()) - 2
		if at == len(w.committed) {
			w.committed = append(w.committed, entry)
			continue
		}
		if at > len(w.committed) || !sameEntry(w.committed[at], entry) {
			w.fail("member %d applied another entry at %d than others", m.id, entry.GetIndex())
		}
	}
}

func sameEntry(a, b *apiv1.LogEntry) bool {
	return a.GetTerm() == b.GetTerm() && a.GetKind() == b.GetKind() && string(a.GetData()) == string(b.GetData())
}

// read begins a read-index round.
func (w *world) read(m *member) {
	w.nextRead++
	if m.core.ReadIndex(w.nextRead) == nil {
		m.reads[w.nextRead] = w.highest
	}
}

// checkReads checks linearizability: a confirmed round's index covers all that
// was committed anywhere when the round began.
func (w *world) checkReads(m *member, reads []ReadState) {
	for _, read := range reads {
		if read.Index < m.reads[read.Round] {
			w.fail("member %d confirmed a read at %d, but %d was committed before", m.id, read.Index, m.reads[read.Round])
		}
	}
}

// check checks election safety and leader completeness.
func (w *world) check(m *member) {
	w.highest = max(w.highest, m.core.CommitIndex())
	if m.core.Role() != Leader {
		return
	}
	term := m.core.Term()
	if other, ok := w.leaders[term]; ok && other != m.id {
		w.fail("members %d and %d both lead term %d", other, m.id, term)
	}
	if _, ok := w.leaders[term]; ok {
		return
	}
	w.leaders[term] = m.id
	w.checkMembership(m)
	for _, entry := range w.committed {
		have, known := m.core.TermAt(entry.GetIndex())
		if entry.GetIndex() > m.core.log.offset && (!known || have != entry.GetTerm()) {
			w.fail("member %d leads term %d without the committed entry %d", m.id, term, entry.GetIndex())
		}
	}
}

// checkMembership checks that the membership is that of the log's last
// membership entry.
func (w *world) checkMembership(m *member) {
	versions := newMembershipLog(m.core.members.versions[0].index, m.core.members.versions[0].membership)
	versions.append(m.core.log.entries)
	if !proto.Equal(versions.latest().membership, m.core.Membership()) {
		w.fail("member %d has the membership %v, its log %v", m.id, m.core.Membership(), versions.latest().membership)
	}
}

// checkLogs checks log matching: two logs that agree on an entry's term agree
// on all entries before it.
func (w *world) checkLogs() {
	for i, a := range w.members {
		w.checkMembership(a)
		for _, b := range w.members[i+1:] {
			w.checkPair(a.core.log, b.core.log)
		}
	}
}

func (w *world) checkPair(a, b *entryLog) {
	matched := false
	for index := min(a.last(), b.last()); index > max(a.offset, b.offset); index-- {
		left := a.slice(index, index)[0]
		right := b.slice(index, index)[0]
		matched = matched || left.GetTerm() == right.GetTerm()
		if matched && !sameEntry(left, right) {
			w.fail("two logs match after index %d but differ there", index)
		}
	}
}

func (w *world) leader() *member {
	var leader *member
	for _, m := range w.members {
		if m.core.Role() == Leader && (leader == nil || m.core.Term() > leader.core.Term()) {
			leader = m
		}
	}
	return leader
}

// settle delivers everything for some rounds of ticks.
func (w *world) settle(rounds int, done func() bool) bool {
	for range rounds {
		for _, m := range w.members {
			m.core.Tick()
			w.process(m, false)
		}
		for len(w.network) > 0 {
			if m := w.deliver(0); m != nil {
				w.process(m, false)
			}
		}
		if done() {
			return true
		}
	}
	return false
}
