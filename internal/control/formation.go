package control

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	maxVoters          = 7
	clusterIDHexDigits = 32
	formRetryHint      = "ask again: the members that have formed stay as they are"
)

// InitCluster forms a cluster of the named members, which must all answer and
// belong to no other cluster. The cluster's id is derived from its first voters, so
// a repeated call after a failure continues where the last one stopped, and a call
// with other members is refused.
func (s controlService) InitCluster(ctx context.Context, request *apiv1.InitClusterRequest) (*apiv1.InitClusterResponse, error) {
	members := request.GetMembers()
	if err := validateMembers(members); err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	voters, identities, err := s.identifyAll(ctx, members)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	clusterID := deriveClusterID(voters)
	for _, identity := range identities {
		if identity.GetClusterId() != "" && identity.GetClusterId() != clusterID {
			return nil, twirp.NewErrorf(twirp.FailedPrecondition,
				"member %q belongs to cluster %q", identity.GetName(), identity.GetClusterId())
		}
	}
	form := &apiv1.FormRequest{ClusterId: clusterID, Voters: voters, Operator: request.GetOperator()}
	if err := s.formAll(ctx, form); err != nil {
		return nil, err
	}
	return &apiv1.InitClusterResponse{ClusterId: clusterID}, nil
}

// validateMembers checks the number of members and that names and addresses are
// set and unique.
func validateMembers(members []*apiv1.Member) error {
	if len(members) == 0 || len(members) > maxVoters || len(members)%2 == 0 {
		return errors.Newf("%d members; 1, 3, 5 or 7 are needed", len(members))
	}
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for _, member := range members {
		if member.GetName() == "" || member.GetAddress() == "" {
			return errors.New("a member lacks its name or address")
		}
		if names[member.GetName()] || addresses[member.GetAddress()] {
			return errors.Newf("member %q at %q is named twice", member.GetName(), member.GetAddress())
		}
		names[member.GetName()] = true
		addresses[member.GetAddress()] = true
	}
	return nil
}

// identifyAll identifies all members in parallel. It returns them as voters, sorted
// by incarnation, together with their identities in the order of members.
func (s *Server) identifyAll(
	ctx context.Context, members []*apiv1.Member,
) ([]*apiv1.MemberInfo, []*apiv1.IdentifyResponse, error) {
	identities := make([]*apiv1.IdentifyResponse, len(members))
	failures := make([]error, len(members))
	var group errgroup.Group
	for i, member := range members {
		group.Go(func() error {
			identities[i], failures[i] = s.identifyMember(ctx, member)
			return nil
		})
	}
	_ = group.Wait()
	if err := errors.Join(failures...); err != nil {
		return nil, nil, err
	}
	voters := make([]*apiv1.MemberInfo, len(members))
	for i, member := range members {
		voters[i] = &apiv1.MemberInfo{
			Incarnation:   identities[i].GetIncarnation(),
			Name:          member.GetName(),
			Address:       member.GetAddress(),
			FailureDomain: identities[i].GetFailureDomain(),
		}
	}
	sortByIncarnation(voters)
	return voters, identities, nil
}

// identifyMember identifies the process at the member's address and checks that its
// name is the member's.
func (s *Server) identifyMember(ctx context.Context, member *apiv1.Member) (*apiv1.IdentifyResponse, error) {
	identity, err := s.peers.identify(ctx, member.GetAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "member %q at %s does not answer", member.GetName(), member.GetAddress())
	}
	if identity.GetName() != member.GetName() {
		return nil, errors.Newf("the process at %s is %q, not %q", member.GetAddress(), identity.GetName(), member.GetName())
	}
	return identity, nil
}

// formAll sends the request to all voters in parallel.
func (s *Server) formAll(ctx context.Context, form *apiv1.FormRequest) error {
	var group errgroup.Group
	for _, voter := range form.GetVoters() {
		group.Go(func() error {
			err := s.peers.form(ctx, voter.GetAddress(), form)
			return errors.Wrapf(err, "form member %q", voter.GetName())
		})
	}
	if err := group.Wait(); err != nil {
		return twirp.NewError(twirp.Unavailable, fmt.Sprintf("%s; %s", err, formRetryHint))
	}
	return nil
}

// formationService serves the process that forms the cluster by InitCluster.
type formationService struct {
	*Server
}

var _ apiv1.Formation = formationService{}

// Form makes this process one of the first voters of a new cluster. It succeeds if
// the process already belongs to that cluster.
func (s formationService) Form(ctx context.Context, request *apiv1.FormRequest) (*apiv1.FormResponse, error) {
	voters := make([]*apiv1.MemberInfo, 0, len(request.GetVoters()))
	for _, voter := range request.GetVoters() {
		voters = append(voters, proto.CloneOf(voter))
	}
	sortByIncarnation(voters)
	if request.GetClusterId() == "" || request.GetClusterId() != deriveClusterID(voters) {
		return nil, twirp.InvalidArgumentError("cluster_id", "does not follow from the voters")
	}
	own := s.Log.Status().Incarnation
	if !slices.ContainsFunc(voters, func(v *apiv1.MemberInfo) bool { return v.GetIncarnation() == own }) {
		return nil, twirp.InvalidArgumentError("voters", "do not name this process")
	}
	operator := request.GetOperator()
	s.formingOperator.Store(&operator)
	err := s.Log.Form(ctx, request.GetClusterId(), voters)
	if errors.Is(err, replica.ErrAlreadyFormed) {
		if existing := s.Log.Status().ClusterID; existing != request.GetClusterId() {
			return nil, twirp.NewErrorf(twirp.FailedPrecondition, "this process belongs to cluster %q", existing)
		}
		return &apiv1.FormResponse{}, nil
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &apiv1.FormResponse{}, nil
}

func sortByIncarnation(voters []*apiv1.MemberInfo) {
	slices.SortFunc(voters, func(a, b *apiv1.MemberInfo) int {
		return cmp.Compare(a.GetIncarnation(), b.GetIncarnation())
	})
}

// deriveClusterID derives the cluster's id from the incarnations, names and
// addresses of its first voters, which must be sorted by incarnation.
func deriveClusterID(voters []*apiv1.MemberInfo) string {
	var text strings.Builder
	for _, voter := range voters {
		fmt.Fprintf(&text, "%016x %q %q\n", voter.GetIncarnation(), voter.GetName(), voter.GetAddress())
	}
	sum := sha256.Sum256([]byte(text.String()))
	return hex.EncodeToString(sum[:])[:clusterIDHexDigits]
}
