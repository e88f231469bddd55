package replica

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/raft"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// A new cluster's log begins with a snapshot at this index and term, which
// holds the first membership and stands for the state machine's beginning.
const (
	formationIndex = 1
	formationTerm  = 1
)

// Form makes this member one of a new cluster's first voters. Calling it again
// with the same cluster identifier has no effect. Errors: ErrAlreadyFormed, or
// ctx's.
func (r *Replica) Form(ctx context.Context, clusterID string, voters []*apiv1.MemberInfo) error {
	return r.request(ctx, func() error { return r.form(clusterID, voters) })
}

func (r *Replica) form(clusterID string, voters []*apiv1.MemberInfo) error {
	identity := r.store.Identity()
	if identity.ClusterID != "" {
		if identity.ClusterID == clusterID {
			return nil
		}
		return errors.Wrapf(ErrAlreadyFormed, "cluster %q", identity.ClusterID)
	}
	membership, err := firstMembership(clusterID, identity.Incarnation, voters)
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

func firstMembership(clusterID string, own uint64, voters []*apiv1.MemberInfo) (*apiv1.Membership, error) {
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

// join makes a member that belongs to no cluster part of the request's: only a
// leader whose membership lists this incarnation addresses it so.
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

func isFromLeader(message *apiv1.RaftMessage) bool {
	switch message.GetType() {
	case apiv1.RaftMessage_TYPE_APPEND, apiv1.RaftMessage_TYPE_HEARTBEAT, apiv1.RaftMessage_TYPE_SNAPSHOT:
		return true
	}
	return false
}
