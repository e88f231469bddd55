package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	dispatchInterval   = 50 * time.Millisecond
	leaseCheckInterval = 50 * time.Millisecond
)

// Run renews the entry's lease and updates its view of the cluster until ctx
// ends. It must be running for requests to be served.
func (s *Server) Run(ctx context.Context) error {
	defer s.cancelBackground()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.renewLoop(ctx) })
	group.Go(func() error { return s.dispatchLoop(ctx) })
	err := group.Wait()
	s.upstreams.closeAllIdle()
	return err
}

// dispatchLoop dispatches waiting requests periodically, since spilling to
// another region, slow start and the end of ejections depend on time alone. It
// also updates the gauges and logs when the lease is acquired or expires.
func (s *Server) dispatchLoop(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		held = s.logLeaseChange(held)
		waiting, inFlight := 0, 0
		for _, svc := range s.allServices() {
			svc.dispatch()
			demand := svc.demand()
			waiting += int(demand.GetWaiting())
			inFlight += int(demand.GetInFlight())
		}
		s.metrics.waiting.Update(int64(waiting))
		s.metrics.inFlight.Update(int64(inFlight))
		s.metrics.linkBytes.Update(s.regionLink.TotalBytes())
	}
}

// logLeaseChange logs when the lease was acquired or has expired since the last
// call, and returns whether it is valid now.
func (s *Server) logLeaseChange(held bool) bool {
	valid := s.lease.Valid()
	switch {
	case held && !valid:
		s.metrics.lostLeases.Inc(1)
		s.logger.Warn("lease expired")
	case !held && valid:
		s.logger.Info("lease acquired", "revision", s.view.Load().revision)
	}
	return valid
}

// awaitLease waits up to LeaseGrace for an expired lease to be renewed, which
// hides short outages of control from callers. It reports whether the lease is
// valid.
func (s *Server) awaitLease(ctx context.Context) bool {
	if s.lease.Valid() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.LeaseGrace)
	defer cancel()
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.lease.Valid()
		case <-ticker.C:
			if s.lease.Valid() {
				return true
			}
		}
	}
}
