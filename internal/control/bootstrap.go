package control

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	formRetryInterval         = 150 * time.Millisecond // between two attempts to form the cluster
	spareRegistrationInterval = time.Second            // between two registrations with the leader
	spareRetryInterval        = 200 * time.Millisecond // after a registration that failed
	spareRegistrationTimeout  = 2 * time.Second
	spareAttemptTimeout       = 200 * time.Millisecond // of one address, before others are asked as well
)

// FormFromSeeds forms a cluster of the control processes at the seeds' addresses,
// without an operator. Only the process at the first address in sorted order sends
// the requests; the others receive them. It returns once this process belongs to a
// cluster, and knows a leader if it has sent the requests, or ctx ends. A process that
// starts with an empty data folder after the cluster was formed must not call it.
func (s *Server) FormFromSeeds(ctx context.Context, seeds []string) {
	seeds = slices.Clone(seeds)
	slices.Sort(seeds)
	asks := len(seeds) > 0 && seeds[0] == s.Address
	asked := false
	for {
		status := s.Log.Status()
		// Without a leader, the requests to a majority may have been lost.
		if status.ClusterID != "" && (!asked || status.Leader != 0) {
			return
		}
		if asks {
			asked = true
			if err := s.tryForm(ctx, seeds); err != nil {
				s.Logger.Info("cluster not formed yet", "seeds", seeds, "error", err)
			}
		}
		if !sleep(ctx, formRetryInterval) {
			return
		}
	}
}

// tryForm identifies the seeds and asks them to form a cluster. All must answer. Of
// an even number, the last one is left out.
func (s *Server) tryForm(ctx context.Context, seeds []string) error {
	request := &apiv1.InitClusterRequest{Operator: s.Name}
	for _, address := range seeds {
		identity, err := s.peers.identify(ctx, address)
		if err != nil {
			return err
		}
		request.Members = append(request.Members, &apiv1.Member{Name: identity.GetName(), Address: address})
	}
	if len(request.Members)%2 == 0 {
		request.Members = request.Members[:len(request.Members)-1]
	}
	_, err := controlService{s}.InitCluster(ctx, request)
	return err
}

// RegisterAsSpare registers this process with the leader as a spare, which can become
// a voter. It repeats that every spareRegistrationInterval while the process is no
// voter, until ctx ends. A voter that knows no leader registers as well: if it was
// replaced while it could not be reached, only the others know. The client learns the
// addresses of the members, so that it still reaches them once those that it was
// configured with are gone.
func (s *Server) RegisterAsSpare(ctx context.Context, client *rpc.Client, failureDomain string) {
	hadLeader := true // at the previous check; an election is shorter than the time between two
	wasVoter := s.isVoter()
	for {
		isVoter := s.isVoter()
		if wasVoter && !isVoter {
			s.logRemoval()
		}
		wasVoter = isVoter
		hasLeader, wait := s.Log.Status().Leader != 0, spareRegistrationInterval
		if !isVoter || !hasLeader && !hadLeader {
			if err := s.registerAsSpare(ctx, client, failureDomain); err != nil {
				s.Logger.Info("spare registration failed", "addresses", client.Addresses(), "error", err)
				wait = spareRetryInterval
			}
		}
		hadLeader = hasLeader
		if !sleep(ctx, wait) {
			return
		}
	}
}

// registerAsSpare makes one attempt to register. Addresses that don't answer are left
// for others long before it ends, since some belong to VMs that are gone.
func (s *Server) registerAsSpare(ctx context.Context, client *rpc.Client, failureDomain string) error {
	ctx, cancel := context.WithTimeout(rpc.WithAttemptTimeout(ctx, spareAttemptTimeout), spareRegistrationTimeout)
	defer cancel()
	response, err := client.Jobs().Join(ctx, &apiv1.JoinRequest{
		Name: s.Name, Address: s.Address, FailureDomain: failureDomain, Control: true,
	})
	if err != nil {
		return err
	}
	client.SetAddresses(response.GetControlAddresses())
	return nil
}

// logRemoval logs that this process, a voter before, no longer is one by its own log.
func (s *Server) logRemoval() {
	status := s.Log.Status()
	s.Logger.Warn("removed from the membership", "incarnation", status.Incarnation, "voters", len(status.Membership.GetVoters()),
		"term", status.Term, "leader", status.LeaderAddr)
}

// isVoter reports whether this process's incarnation is a voter.
func (s *Server) isVoter() bool {
	status := s.Log.Status()
	return slices.ContainsFunc(status.Membership.GetVoters(), func(m *apiv1.MemberInfo) bool {
		return m.GetIncarnation() == status.Incarnation
	})
}
