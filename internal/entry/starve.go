package entry

import (
	"context"
	"sync/atomic"
)

// signalStarved cancels the renewal in flight, so that the leader learns at once
// of a request for which the entry holds no slot.
func (s *Server) signalStarved() {
	select {
	case s.starved <- struct{}{}:
	default:
	}
}

// clearStarved clears a signal whose demand the next renewal reports.
func (s *Server) clearStarved() {
	select {
	case <-s.starved:
	default:
	}
}

// cancelWhenStarved cancels a renewal if signalStarved is called before the
// renewal has ended. The result is true once that has happened.
func (s *Server) cancelWhenStarved(cancel context.CancelFunc, ended <-chan struct{}) *atomic.Bool {
	cancelled := new(atomic.Bool)
	go func() {
		select {
		case <-s.starved:
			cancelled.Store(true)
			cancel()
		case <-ended:
		}
	}()
	return cancelled
}
