package replica

import (
	"context"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// loop drives the core until ctx ends, or running does because another part
// failed. It alone uses the core.
func (r *Replica) loop(ctx, running context.Context) error {
	ticker := time.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	stopping := ctx.Done()
	var handover <-chan time.Time
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
			handover = time.After(handoverTimeout)
			if r.core.TransferLeadership() != nil {
				return nil
			}
		case <-handover:
			return nil
		case <-ticker.C:
			r.core.Tick()
			r.publishProgress()
		case request := <-r.inbox:
			if err := r.step(request); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.group = append(r.group, p)
		case b := <-r.barriers:
			r.reads.wait(b)
		case request := <-r.requests:
			request()
			if err := r.store.Failure(); err != nil {
				return err
			}
		case index := <-r.applier.saved:
			if err := r.compact(index); err != nil {
				return err
			}
		case id := <-r.transport.failedSnapshots:
			r.core.ReportSnapshotFailure(id)
		}
		if err := r.takeWaiting(); err != nil {
			return err
		}
	}
}

// maxGroup bounds how many inputs of each kind are taken in before the work
// that they cause is done.
const maxGroup = 1_024

// takeWaiting takes in what waits besides, so that one sync and one append
// round serve it all.
func (r *Replica) takeWaiting() error {
	for range min(len(r.inbox), maxGroup) {
		if err := r.step(<-r.inbox); err != nil {
			return err
		}
	}
	for range min(len(r.proposals), maxGroup) {
		r.group = append(r.group, <-r.proposals)
	}
	r.propose(r.group)
	clear(r.group)
	r.group = r.group[:0]
	for range min(len(r.barriers), maxGroup) {
		r.reads.wait(<-r.barriers)
	}
	return nil
}

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
			r.counters.handovers.Inc(1)
		}
		r.core.Step(message)
	}
	return nil
}

// process carries out the work that the core has.
func (r *Replica) process() error {
	r.noticeLeadership()
	for {
		r.beginReadRound()
		if !r.core.HasReady() {
			break
		}
		if err := r.carryOut(r.core.Ready()); err != nil {
			return err
		}
		r.core.Advance()
		r.noticeLeadership()
	}
	r.publish()
	return nil
}

func (r *Replica) carryOut(ready raft.Ready) error {
	r.transport.send(ready.Messages)
	if ready.Snapshot != nil {
		if err := r.store.InstallSnapshot(ready.Snapshot); err != nil {
			return err
		}
		r.counters.snapshotsInstalled.Inc(1)
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
			r.applier.notify(read.Index, b.done)
		}
	}
	return nil
}

func (r *Replica) sync(ready raft.Ready) error {
	begin := time.Now()
	if err := r.store.Append(ready.Entries, ready.HardState); err != nil {
		return err
	}
	if err := r.store.Sync(); err != nil {
		return err
	}
	r.counters.sync.UpdateSince(begin)
	return nil
}

// compact forgets what the snapshot that was saved at index makes unnecessary.
func (r *Replica) compact(index uint64) error {
	if index > r.config.TrailingEntries {
		r.core.Compact(index - r.config.TrailingEntries)
	}
	return r.store.Compact(index)
}

// noticeLeadership fails what waits for a leadership that has ended.
func (r *Replica) noticeLeadership() {
	term := uint64(0)
	if r.core.Role() == raft.Leader {
		term = r.core.Term()
	}
	if term == r.leaderTerm {
		return
	}
	if r.leaderTerm != 0 {
		// Up to the commit index the applier still answers.
		r.pending.failAfter(r.core.CommitIndex(), ErrIndeterminate)
		r.reads.fail(ErrNotLeader)
		r.config.Logger.Info("leadership ended", "term", r.leaderTerm)
	}
	r.leaderTerm = term
	if term != 0 {
		r.config.Logger.Info("leadership began", "term", term)
	}
}
