package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
)

// Status returns the current status of this member. The caller must not modify
// the membership and progress in it.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.status
	status.AppliedIndex = r.applier.appliedIndex()
	status.Problem = r.disk.problem()
	return status
}

// Changed returns a channel that is closed at the next change of cluster, term,
// leader or membership, and when Run returns.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// publish updates the status from the core's state, and closes the channel that
// Changed returned if cluster, term, leader or membership changed.
func (r *Replica) publish() {
	identity := r.store.Identity()
	electorate := r.core.Electorate()
	status := Status{
		ClusterID:   identity.ClusterID,
		Incarnation: identity.Incarnation,
		Term:        r.core.Term(),
		Leader:      r.core.Leader(),
		LeaderAddr:  r.transport.addressOf(r.core.Leader()),
		IsLeader:    r.core.Role() == raft.Leader,
		CommitIndex: r.core.CommitIndex(),
		Membership:  electorate[0],
	}
	if len(electorate) > 1 {
		status.Previous = electorate[1]
	}
	if status.IsLeader {
		status.LeaderAddr = r.config.Address
	}
	r.mu.Lock()
	earlier := r.status
	if status.IsLeader {
		status.Progress = earlier.Progress
	}
	r.status = status
	if !sameClusterView(earlier, status) {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
}

// addressMembers tells the transport the members of a changed membership.
func (r *Replica) addressMembers() {
	if membership := r.core.Membership(); membership != r.addressed {
		r.addressed = membership
		r.transport.updateMembership(membership, r.core.DepartingVoters())
	}
}

// sameClusterView reports whether two statuses agree on cluster, term, leader and
// membership.
func sameClusterView(a, b Status) bool {
	return a.ClusterID == b.ClusterID &&
		a.Term == b.Term &&
		a.Leader == b.Leader &&
		a.IsLeader == b.IsLeader &&
		(a.Membership == b.Membership || proto.Equal(a.Membership, b.Membership))
}

// publishProgress updates the progress of the other members in the status if this
// member is the leader. It is called after each tick.
//
// The silence of a member is measured in real time, since the loop may miss ticks. A
// member whose count of ticks has not grown has responded in between.
func (r *Replica) publishProgress(now time.Time) {
	all := r.core.Progress()
	heard := make(map[uint64]contact, len(all))
	progress := make(map[uint64]Progress, len(all))
	for id, p := range all {
		last, known := r.heard[id]
		if !known || p.TicksSinceResponse <= last.ticksSince {
			last.at = now.Add(-time.Duration(p.TicksSinceResponse) * r.config.TickInterval)
		}
		last.ticksSince = p.TicksSinceResponse
		heard[id] = last
		progress[id] = Progress{MatchIndex: p.MatchIndex, SinceContact: now.Sub(last.at), State: p.State}
	}
	r.heard = heard
	if all == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Progress = progress
}

// contact is when a member last responded.
type contact struct {
	at         time.Time
	ticksSince int // of the core, since then
}

// failPending fails all pending proposals and barriers and clears the leadership
// in the status, when Run returns.
func (r *Replica) failPending() {
	r.pending.failAfter(0, ErrIndeterminate)
	r.reads.fail(ErrNotLeader)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.IsLeader = false
	r.status.Leader = 0
	r.status.LeaderAddr = ""
	r.status.Progress = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// memberAddresses returns the addresses of all voters and learners by
// incarnation.
func memberAddresses(membership *apiv1.Membership) map[uint64]string {
	addresses := make(map[uint64]string)
	for _, member := range membership.GetVoters() {
		addresses[member.GetIncarnation()] = member.GetAddress()
	}
	for _, member := range membership.GetLearners() {
		addresses[member.GetIncarnation()] = member.GetAddress()
	}
	return addresses
}
