package replica

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// loop drives the core until ctx or running ends or the data folder fails. A leader
// whose data folder has failed hands over first, so that the others don't have to wait
// for an election timeout.
func (r *Replica) loop(ctx, running context.Context) error {
	err := r.driveCore(ctx, running)
	if err == nil {
		return nil
	}
	if messages := r.core.Resign(); len(messages) > 0 {
		r.transport.send(messages)
		select {
		case <-time.After(r.config.CallTimeout):
		case <-running.Done():
		}
	}
	return err
}

// driveCore drives the core and is the only user of it. When ctx ends, it transfers
// leadership if this member is the leader and returns nil after the transfer or
// transferTimeout. It returns at once if running ends, since then another
// goroutine of the replica has failed.
func (r *Replica) driveCore(ctx, running context.Context) error {
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	r.tickedAt = time.Now()
	stopping := ctx.Done() // nil once ctx has ended
	var transferDeadline <-chan time.Time
	for {
		if err := r.process(); err != nil {
			return err
		}
		if stopping == nil && r.leaderTerm == 0 {
			return nil
		}
		select {
		case <-running.Done():
			return nil
		case <-stopping:
			stopping = nil
			transferDeadline = time.After(transferTimeout)
			if r.core.TransferLeadership() != nil {
				return nil
			}
		case <-transferDeadline:
			return nil
		case <-ticker.C: // only wakes the loop
		case request := <-r.inbox:
			if err := r.step(request); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.batch = append(r.batch, p)
		case b := <-r.barriers:
			r.reads.enqueue(b)
		case request := <-r.loopCalls:
			request()
			if err := r.store.Failure(); err != nil {
				return err
			}
		case index := <-r.applier.savedSnapshots:
			if err := r.compact(index); err != nil {
				return err
			}
		case result := <-r.transport.snapshotResults:
			r.reportSnapshot(result)
		}
		if err := r.drainQueues(); err != nil {
			return err
		}
		r.tick(time.Now())
	}
}

// tick advances the core's timers by one tick if one is due. It is called after each batch
// of inputs, so a busy loop ticks in each iteration. Ticks that it misses only make a leader's
// next heartbeat due: the responses and the leader's messages of that time may not have been
// read yet, and a leader would step down, or another member campaign, although all of them
// are there.
func (r *Replica) tick(now time.Time) {
	due := now.Sub(r.tickedAt) / r.config.TickInterval
	if due <= 0 {
		return
	}
	r.tickedAt = r.tickedAt.Add(due * r.config.TickInterval)
	r.core.SkipTicks(int(due) - 1)
	if messageTime, known := r.transport.messageTime(awaitedVoters(r.core), r.store.Identity().Incarnation, now); known {
		r.core.SetMessageTicks(int(messageTime / r.config.TickInterval))
	}
	r.core.Tick()
	r.publishProgress(now)
	r.logLeaderless(now)
}

// awaitedVoters returns the memberships whose voters the member waits for. While a replacement is not committed, candidates need
// the votes of those before it as well. A leader and its followers would wait for departing voters that are gone.
func awaitedVoters(core *raft.Core) []*apiv1.Membership {
	electorate := core.Electorate()
	if role := core.Role(); role == raft.PreCandidate || role == raft.Candidate {
		return electorate
	}
	return electorate[:1]
}

// maxBatchInputs bounds how many queued inputs of each kind the loop processes
// before it does the core's resulting work.
const maxBatchInputs = 1_024

// drainQueues processes the other inputs that are queued, so that one sync and one
// round of append messages cover them all.
func (r *Replica) drainQueues() error {
	for range min(len(r.inbox), maxBatchInputs) {
		if err := r.step(<-r.inbox); err != nil {
			return err
		}
	}
	for range min(len(r.proposals), maxBatchInputs) {
		r.batch = append(r.batch, <-r.proposals)
	}
	r.propose(r.batch)
	clear(r.batch)
	r.batch = r.batch[:0]
	for range min(len(r.barriers), maxBatchInputs) {
		r.reads.enqueue(<-r.barriers)
	}
	return nil
}

// step passes the messages of a request to the core. Requests of other clusters
// are ignored.
func (r *Replica) step(request *apiv1.StepRequest) error {
	if r.store.Identity().ClusterID == "" {
		if err := r.join(request); err != nil {
			return err
		}
	}
	if request.GetClusterId() != r.store.Identity().ClusterID {
		return nil
	}
	for _, message := range request.GetMessages() {
		if message.GetType() == apiv1.RaftMessage_TYPE_TIMEOUT_NOW {
			r.counters.transfersReceived.Inc(1)
		}
		r.core.Step(message)
	}
	return nil
}

// process does the work of the core until none is left, then publishes the
// status.
func (r *Replica) process() error {
	r.updateLeadership()
	for {
		r.beginReadRound()
		if !r.core.HasReady() {
			break
		}
		if err := r.processReady(r.core.Ready()); err != nil {
			return err
		}
		r.core.Advance()
		r.core.SetSyncTicks(int(r.syncTimes.typical() / r.config.TickInterval))
		r.updateLeadership()
	}
	r.publish()
	return nil
}

func (r *Replica) reportSnapshot(result snapshotResult) {
	if result.delivered {
		r.core.ReportSnapshotDelivered(result.incarnation)
	} else {
		r.core.ReportSnapshotFailure(result.incarnation)
	}
}

// processReady does the work of a Ready in the order that it documents.
func (r *Replica) processReady(ready raft.Ready) error {
	r.addressMembers() // the messages may be for a member that is new
	r.transport.send(ready.Messages)
	if ready.Snapshot != nil {
		if err := r.store.InstallSnapshot(ready.Snapshot); err != nil {
			return err
		}
		r.counters.snapshotsInstalled.Inc(1)
		r.config.Logger.Info("snapshot installed", "index", ready.Snapshot.Index(), "bytes", len(ready.Snapshot.Data))
	}
	if ready.MustSync {
		if err := r.sync(ready); err != nil {
			return err
		}
	}
	r.transport.send(ready.MessagesAfterSync)
	if ready.Snapshot != nil || len(ready.CommittedEntries) > 0 {
		r.applier.push(applyTask{snapshot: ready.Snapshot, entries: ready.CommittedEntries})
	}
	for _, read := range ready.ReadStates {
		for _, b := range r.reads.confirm(read.Round) {
			r.applier.notifyApplied(read.Index, b.done)
		}
	}
	return nil
}

// sync writes the entries and the hard state to the log on disk and syncs it.
func (r *Replica) sync(ready raft.Ready) error {
	begin := time.Now()
	defer r.disk.begin(begin)()
	if err := r.store.Append(ready.Entries, ready.HardState); err != nil {
		return err
	}
	if err := r.store.Sync(); err != nil {
		return err
	}
	r.counters.sync.UpdateSince(begin)
	r.syncTimes.record(time.Since(begin))
	return nil
}

// compact discards the log entries that the snapshot saved at index replaces. In
// memory, TrailingEntries of them are kept for slow followers.
func (r *Replica) compact(index uint64) error {
	if index > r.config.TrailingEntries {
		r.core.Compact(index - r.config.TrailingEntries)
	}
	return r.store.Compact(index)
}
