package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// requestStarted counts a request in and reports whether its connection shall close.
func (s *Server) requestStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	return s.closeConnections
}

func (s *Server) requestFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain fails /healthz, goes on serving until the platform's balancer sends
// nothing more, asks kept-alive callers to reconnect, and returns when nothing
// is in flight or queued and every outcome is recorded. Run must go on
// meanwhile. An error means that ctx ended first.
func (s *Server) Drain(ctx context.Context) error {
	s.startDrain()
	s.logger.Info("draining")
	if err := sleep(ctx, s.config.BalancerDelay); err != nil {
		return errors.Wrap(err, "wait for the balancer")
	}
	if err := s.awaitIdle(ctx); err != nil {
		return errors.Wrap(err, "wait for requests in flight")
	}
	s.pendingSettles.Wait()
	s.logger.Info("drained")
	return nil
}

func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closeConnections = true, true
}

func (s *Server) awaitIdle(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
