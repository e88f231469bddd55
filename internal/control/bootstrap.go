package control

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	formRetry  = 150 * time.Millisecond // between two tries to form the cluster
	offerEvery = time.Second            // between two offers to the leader
)

// FormFromSeeds forms the cluster of the control processes at the seeds'
// addresses, without an operator. Only the process at the first address acts;
// the others are told. It returns once this process belongs to a cluster. A
// process that starts with an empty folder later on must not call it.
func (s *Server) FormFromSeeds(ctx context.Context, seeds []string) {
	seeds = slices.Clone(seeds)
	slices.Sort(seeds)
	for s.Log.Status().ClusterID == "" {
		if len(seeds) > 0 && seeds[0] == s.Address {
			if err := s.formOnce(ctx, seeds); err != nil {
				s.Logger.Info("cluster not formed yet", "seeds", seeds, "error", err)
			}
		}
		if !pause(ctx, formRetry) {
			return
		}
	}
}

func (s *Server) formOnce(ctx context.Context, seeds []string) error {
	request := &apiv1.InitClusterRequest{Operator: s.Name}
	for _, address := range seeds {
		answer, err := s.peers.identify(ctx, address)
		if err != nil {
			return err
		}
		request.Members = append(request.Members, &apiv1.Member{Name: answer.GetName(), Address: address})
	}
	if len(request.Members)%2 == 0 {
		request.Members = request.Members[:len(request.Members)-1]
	}
	_, err := controlService{s}.InitCluster(ctx, request)
	return err
}

// RegisterAsSpare tells the leader again and again that this process is there and could
// become a voter, while it is none.
func (s *Server) RegisterAsSpare(ctx context.Context, leader apiv1.Jobs, failureDomain string) {
	for pause(ctx, offerEvery) {
		if s.isVoter() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, offerEvery)
		_, err := leader.Join(call, &apiv1.JoinRequest{
			Name: s.Name, Address: s.Address, FailureDomain: failureDomain, Control: true,
		})
		cancel()
		if err != nil {
			s.Logger.Info("offer not taken", "error", err)
		}
	}
}

func (s *Server) isVoter() bool {
	status := s.Log.Status()
	return slices.ContainsFunc(status.Membership.GetVoters(), func(m *apiv1.MemberInfo) bool {
		return m.GetIncarnation() == status.Incarnation
	})
}
