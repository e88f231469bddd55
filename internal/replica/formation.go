package replica

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// The log of a new cluster begins with a snapshot at this index and term. It
// holds the initial membership and represents the initial state of the state
// machine.
const (
	formationIndex = 1
	formationTerm  = 1
)

// Form makes this member one of the initial voters of a new cluster. Calling it
// again with the same cluster identifier has no effect. Errors: ErrAlreadyFormed
// if the member belongs to another cluster, ErrNotLeader if Run has returned, or
// the error of ctx.
func (r *Replica) Form(ctx context.Context, clusterID string, voters []*apiv1.MemberInfo) error {
	return r.runOnLoop(ctx, func() error { return r.form(clusterID, voters) })
}

func (r *Replica) form(clusterID string, voters []*apiv1.MemberInfo) error {
	identity := r.store.Identity()
	if identity.ClusterID != "" {
		if identity.ClusterID == clusterID {
			return nil
		}
		return errors.Wrapf(ErrAlreadyFormed, "cluster %q", identity.ClusterID)
	}
	membership, err := initialMembership(clusterID, identity.Incarnation, voters)
	if err != nil {
		return err
	}
	snapshot := &raft.Snapshot{Meta: &apiv1.SnapshotMeta{
		Index:      formationIndex,
		Term:       formationTerm,
		Membership: membership,
	}}
	if err := r.store.Form(clusterID, snapshot); err != nil {
		return err
	}
	r.core = raft.New(r.coreOptions(&storage.State{Snapshot: snapshot}))
	r.applier.push(applyTask{snapshot: snapshot})
	r.config.Logger.Info("formed cluster", "cluster", clusterID, "voters", len(voters))
	return nil
}

// initialMembership checks the voters and returns them as a membership. own is
// the incarnation of this member.
func initialMembership(clusterID string, own uint64, voters []*apiv1.MemberInfo) (*apiv1.Membership, error) {
	if clusterID == "" {
		return nil, errors.New("the cluster identifier is empty")
	}
	membership := &apiv1.Membership{}
	seen := make(map[uint64]bool)
	for _, voter := range voters {
		id := voter.GetIncarnation()
		if id == 0 || seen[id] || voter.GetAddress() == "" {
			return nil, errors.Newf("voter %q has incarnation %d and address %q; each must be set and unique", voter.GetName(), id, voter.GetAddress())
		}
		seen[id] = true
		copied, _ := proto.Clone(voter).(*apiv1.MemberInfo)
		membership.Voters = append(membership.Voters, copied)
	}
	if !seen[own] {
		return nil, errors.Newf("the voters do not list this member's incarnation %d", own)
	}
	return membership, nil
}

// join makes this member, which belongs to no cluster, part of the cluster that
// the request comes from, if the request has a message that only a leader sends
// and that is addressed to this incarnation: a leader sends those only to members
// that its membership lists.
func (r *Replica) join(request *apiv1.StepRequest) error {
	for _, message := range request.GetMessages() {
		if message.GetTo() != r.store.Identity().Incarnation || !isFromLeader(message) {
			continue
		}
		r.config.Logger.Info("joining cluster", "cluster", request.GetClusterId())
		return r.store.Join(request.GetClusterId())
	}
	return nil
}

// isFromLeader reports whether only a leader sends messages of this type.
func isFromLeader(message *apiv1.RaftMessage) bool {
	switch message.GetType() {
	case apiv1.RaftMessage_TYPE_APPEND, apiv1.RaftMessage_TYPE_HEARTBEAT, apiv1.RaftMessage_TYPE_SNAPSHOT:
		return true
	}
	return false
}
