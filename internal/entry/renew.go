package entry

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

const (
	renewWaitIdle      = time.Second             // how long the long poll of a renewal waits for a change
	renewWaitBusy      = 200 * time.Millisecond  // the same, with requests in flight
	renewWaitStarved   = 100 * time.Millisecond  // the same, while requests wait for slots
	renewAttemptMargin = 500 * time.Millisecond  // past the long poll, until another control process is tried
	renewRetryInterval = 100 * time.Millisecond  // after a failure
	renewTimeout       = 3500 * time.Millisecond // of one renewal, over all control processes tried
)

// renewLoop renews the lease, one request at a time, until ctx ends.
func (s *Server) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.renew(ctx) {
			continue
		}
		if sleep(ctx, renewRetryInterval) != nil {
			return nil
		}
	}
	return nil
}

// renew makes one renewal and applies the response. It reports whether the next
// renewal may follow at once.
func (s *Server) renew(ctx context.Context) bool {
	s.dropGrantsWithoutLease()
	s.clearStarved() // this renewal reports the demand
	request := s.newRenewal()
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	cancelled := s.cancelWhenStarved(cancel, ended)
	ctx = rpc.WithAttemptTimeout(ctx, wait+renewAttemptMargin)
	sent := s.lease.SendTime()
	response, err := s.entryLink.Renew(ctx, request)
	if err != nil {
		s.forgetGrantsTagIfRefused(err)
		return cancelled.Load()
	}
	known := s.view.Load()
	if response.GetRevision() < known.revision {
		// A control process with an older state than this entry is not the leader.
		return false
	}
	s.metrics.renewals.Inc(1)
	s.config.Client.SetAddresses(response.GetControlAddresses())
	after := known.afterRenewal(response)
	if !s.lease.Valid() {
		s.setView(after.withoutGrants()) // requests may be served by it as soon as the lease is valid
	}
	s.lease.Extend(sent, time.Duration(response.GetLeaseMs())*time.Millisecond)
	if !s.lease.Valid() {
		after = after.withoutGrants()
	}
	s.setView(after)
	return true
}

// forgetGrantsTagIfRefused clears the tag of the grants if the leader refused the
// renewal, since a new leader does not know the tag.
func (s *Server) forgetGrantsTagIfRefused(err error) {
	var refusal twirp.Error
	if errors.As(err, &refusal) && refusal.Code() == twirp.FailedPrecondition {
		s.view.Store(s.view.Load().withoutGrantsTag())
	}
}

// dropGrantsWithoutLease drops all grants once the lease has expired, since the
// leader may have granted the slots to other entries.
func (s *Server) dropGrantsWithoutLease() {
	if known := s.view.Load(); !s.lease.Valid() && len(known.grants) > 0 {
		s.setView(known.withoutGrants())
	}
}

// newRenewal returns the next renewal request, with the demand and the slots held.
func (s *Server) newRenewal() *apiv1.RenewEntryRequest {
	known := s.view.Load()
	request := &apiv1.RenewEntryRequest{
		Entry:         s.config.Name,
		Session:       s.session,
		Location:      s.config.Location,
		Address:       s.config.Address,
		KnownRevision: known.revision,
		Draining:      s.isDraining(),
		Sequence:      s.sequence.Add(1),
	}
	wait := renewWaitIdle
	for _, svc := range s.allServices() {
		demand := svc.demand()
		request.Demand = append(request.Demand, demand)
		request.Holds = append(request.Holds, svc.pool.Holds(s.upstreams.openConnections)...)
		wait = min(wait, renewWait(demand))
	}
	request.WaitMs = wait.Milliseconds()
	sort.Slice(request.Demand, func(i, j int) bool {
		return request.Demand[i].GetService() < request.Demand[j].GetService()
	})
	sort.Slice(request.Holds, func(i, j int) bool {
		return request.Holds[i].GetEndpoint() < request.Holds[j].GetEndpoint()
	})
	if known.grantsTag != 0 && known.holdsMatchGrants(request.Holds) {
		request.HoldsTag, request.Holds = known.grantsTag, nil
	}
	return request
}

// renewWait returns how long the long poll of a renewal may wait. It is shorter
// the sooner the leader needs to learn of changes in the entry's demand.
func renewWait(demand *apiv1.ServiceDemand) time.Duration {
	switch {
	case demand.GetWaiting() > 0:
		return renewWaitStarved
	case demand.GetInFlight() > 0:
		return renewWaitBusy
	default:
		return renewWaitIdle
	}
}
