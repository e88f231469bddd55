package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Values of Member.Role.
const (
	roleVoter   = "voter"
	roleLearner = "learner"
	roleSpare   = "spare"
)

// ClusterStatus returns what this process knows of the cluster. Any process
// answers, so that operators get a status even without a leader.
func (s controlService) ClusterStatus(
	ctx context.Context, _ *apiv1.ClusterStatusRequest,
) (*apiv1.ClusterStatusResponse, error) {
	status := s.Log.Status()
	members := s.members()
	s.probeMembers(ctx, members)
	s.addMissing(members, time.Now())
	return &apiv1.ClusterStatusResponse{
		ClusterId:             status.ClusterID,
		Term:                  status.Term,
		CommitIndex:           status.CommitIndex,
		Members:               members,
		Revision:              s.Store.Revision(),
		ConfigurationRevision: s.Store.ConfigurationRevision(),
		AnsweredBy:            s.Name,
	}, nil
}

// members returns the voters, the learners and the configured processes that are
// neither, sorted by name.
func (s *Server) members() []*apiv1.Member {
	status := s.Log.Status()
	var members []*apiv1.Member
	listed := make(map[string]bool)
	add := func(infos []*apiv1.MemberInfo, role string) {
		for _, info := range infos {
			listed[info.GetName()] = true
			members = append(members, &apiv1.Member{
				Name:          info.GetName(),
				Address:       info.GetAddress(),
				Incarnation:   info.GetIncarnation(),
				FailureDomain: info.GetFailureDomain(),
				Role:          role,
				Leader:        info.GetIncarnation() == status.Leader,
				MatchIndex:    status.Progress[info.GetIncarnation()].MatchIndex,
			})
		}
	}
	add(status.Membership.GetVoters(), roleVoter)
	add(status.Membership.GetLearners(), roleLearner)
	for _, peer := range s.Peers {
		if !listed[peer.Name] {
			members = append(members, &apiv1.Member{
				Name:          peer.Name,
				Address:       peer.Address,
				FailureDomain: peer.FailureDomain,
				Role:          roleSpare,
			})
		}
	}
	slices.SortStableFunc(members, func(a, b *apiv1.Member) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	return members
}

// probeMembers identifies every member in parallel and marks as reachable those that
// answer with the listed incarnation, or with any if none is listed.
func (s *Server) probeMembers(ctx context.Context, members []*apiv1.Member) {
	own := s.Log.Status().Incarnation
	var calls sync.WaitGroup
	for _, member := range members {
		if member.GetIncarnation() == own {
			member.Reachable, member.Problem = true, s.Log.Status().Problem
			continue
		}
		calls.Go(func() {
			identity, err := s.peers.identify(ctx, member.GetAddress())
			listed := member.GetIncarnation() == 0 || member.GetIncarnation() == identity.GetIncarnation()
			member.Reachable = err == nil && listed
			member.Problem = identity.GetProblem()
			if twirpError := twirp.Error(nil); errors.As(err, &twirpError) && twirpError.Code() == twirp.Unavailable {
				member.Problem = twirpError.Msg()
			}
		})
	}
	calls.Wait()
}

// addMissing adds to the voters that the leader misses why and since when, unless they name a problem themselves. It has
// no effect if this process doesn't lead.
func (s *Server) addMissing(members []*apiv1.Member, now time.Time) {
	assessment := s.tolerance.Load()
	if assessment == nil {
		return
	}
	for _, missing := range assessment.Missing {
		for _, member := range members {
			if member.GetIncarnation() == missing.Incarnation && member.GetProblem() == "" {
				since := now.Add(-missing.For).UTC().Format(time.RFC3339)
				member.Problem = missing.Reason.String() + " since " + since
			}
		}
	}
}

// controlAddresses returns the addresses at which entries can reach control
// processes: those of all members and all configured processes, sorted.
func (s *Server) controlAddresses() []string {
	membership := s.Log.Status().Membership
	var addresses []string
	for _, infos := range [][]*apiv1.MemberInfo{membership.GetVoters(), membership.GetLearners()} {
		for _, info := range infos {
			addresses = append(addresses, info.GetAddress())
		}
	}
	for _, peer := range s.Peers {
		addresses = append(addresses, peer.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
