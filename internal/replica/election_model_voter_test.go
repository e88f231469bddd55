package replica

import (
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// modelVoter is a voter of an electionModel.
type modelVoter struct {
	model     *electionModel
	number    int
	id        uint64
	core      *raft.Core
	transport *transport
	senders   map[uint64]*modelSender
	syncTimes syncTimes
	inbox     []*apiv1.RaftMessage
	tickedAt  time.Time
	syncing   bool
	isLost    bool
	life      int    // number of starts
	proposed  uint64 // term of the last command proposed

	snapshot *apiv1.SnapshotMeta
	state    raft.HardState // on disk, as are the entries
	entries  []*apiv1.LogEntry

	role raft.Role // after the last work, as is the term
	term uint64
}

// start starts the voter from what it has on disk.
func (v *modelVoter) start() {
	v.life++
	v.core = raft.New(raft.Options{
		ID:                   v.id,
		ElectionTicks:        int(modelElection / modelTick),
		HeartbeatTicks:       int(modelHeartbeat / modelTick),
		SnapshotTimeoutTicks: int(snapshotTimeout / modelTick),
		MaxInflight:          maxInflight,
		MaxAppendBytes:       maxAppendBytes,
		MaxLearnerLag:        maxLearnerLag,
		Seed:                 v.model.random.Uint64(),
		HardState:            v.state,
		Snapshot:             v.snapshot,
		Entries:              slices.Clone(v.entries),
	})
	v.transport = &transport{config: Config{CallTimeout: modelCallTimeout}, senders: make(map[uint64]*sender)}
	v.senders = make(map[uint64]*modelSender)
	v.syncTimes = syncTimes{}
	v.inbox, v.syncing = nil, false
	v.tickedAt = v.model.now
	v.role, v.term = v.core.Role(), v.core.Term()
}

// wake is what the driver's ticker does.
func (v *modelVoter) wake() {
	if v.isLost {
		return
	}
	v.model.after(modelTick, v.wake)
	v.work()
}

func (v *modelVoter) receive(messages []*apiv1.RaftMessage) {
	v.inbox = append(v.inbox, messages...)
	v.work()
}

// work does what the driver's loop does, until nothing is left or a sync begins.
func (v *modelVoter) work() {
	for !v.syncing {
		v.observe()
		v.propose()
		if v.core.HasReady() {
			v.processReady()
			continue
		}
		messages := v.inbox
		v.inbox = nil
		for _, message := range messages {
			v.core.Step(message)
		}
		if !v.tick() && len(messages) == 0 {
			return
		}
	}
}

func (v *modelVoter) processReady() {
	ready := v.core.Ready()
	v.send(ready.Messages)
	took := time.Duration(0)
	if ready.MustSync && v.model.faults.sync != nil {
		took = v.model.faults.sync(v.model)
	}
	if took == 0 {
		v.finishReady(ready, took)
		return
	}
	v.syncing = true
	life := v.life
	v.model.after(took, func() {
		if v.life == life && !v.isLost {
			v.syncing = false
			v.finishReady(ready, took)
			v.work()
		}
	})
}

func (v *modelVoter) finishReady(ready raft.Ready, took time.Duration) {
	if ready.MustSync {
		v.syncTimes.record(took)
		v.state = ready.HardState
		if len(ready.Entries) > 0 {
			keep := ready.Entries[0].GetIndex() - v.snapshot.GetIndex() - 1
			v.entries = append(slices.Clone(v.entries[:keep]), ready.Entries...)
		}
	}
	v.send(ready.MessagesAfterSync)
	v.core.Advance()
	v.core.SetSyncTicks(int(v.syncTimes.typical() / modelTick))
	v.observe()
	v.checkCommitted(ready.CommittedEntries)
}

func (v *modelVoter) send(messages []*apiv1.RaftMessage) {
	for _, message := range messages {
		s := v.senders[message.GetTo()]
		if s == nil {
			times := &sender{}
			s = &modelSender{from: v, to: v.model.voters[message.GetTo()-1], times: &times.times}
			v.senders[message.GetTo()], v.transport.senders[message.GetTo()] = s, times
		}
		s.send(message)
	}
}

// tick does what Replica.tick does. It returns false if none is due.
func (v *modelVoter) tick() bool {
	due := v.model.now.Sub(v.tickedAt) / modelTick
	if due <= 0 {
		return false
	}
	v.tickedAt = v.tickedAt.Add(due * modelTick)
	v.core.SkipTicks(int(due) - 1)
	if messageTime, known := v.transport.messageTime(awaitedVoters(v.core), v.id, v.model.now); known {
		v.core.SetMessageTicks(int(messageTime / modelTick))
	}
	v.core.Tick()
	return true
}

// propose proposes a command, if the voter leads, once in each term after the fault.
func (v *modelVoter) propose() {
	m := v.model
	if m.faultAt.IsZero() || v.core.Role() != raft.Leader || v.proposed == v.core.Term() {
		return
	}
	if _, err := v.core.Propose([]byte("command")); err == nil {
		v.proposed = v.core.Term()
	}
}

func (v *modelVoter) checkCommitted(entries []*apiv1.LogEntry) {
	m := v.model
	for _, entry := range entries {
		if entry.GetKind() == apiv1.EntryKind_ENTRY_KIND_COMMAND && m.committedAt.IsZero() && v.core.Role() == raft.Leader {
			m.committedAt = m.now
			m.tracef("%d commits in term %d", v.id, v.core.Term())
		}
	}
}

// observe counts what has changed since the last work.
func (v *modelVoter) observe() {
	role, term, m := v.core.Role(), v.core.Term(), v.model
	if role == v.role && term == v.term {
		return
	}
	was, before := v.role, v.term
	v.role, v.term = role, term
	if m.faultAt.IsZero() || v.isLost {
		return
	}
	m.tracef("%d %s %d -> %s %d", v.id, was, before, role, term)
	m.count(was, before, role, term)
}
