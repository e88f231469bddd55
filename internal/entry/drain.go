package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// requestStarted counts a request as in flight and reports whether its
// connection is to be closed after the response.
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

// Drain makes /healthz fail, keeps serving for BalancerDelay, asks callers with
// keep-alive connections to reconnect, and returns when no request is in flight
// or queued and every outcome is recorded or given up. Run must keep running
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

// awaitIdle waits until no request is in flight or ctx ends.
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

// sleep waits for the duration. It returns an error if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
