package entry

import (
	"context"
	"sync/atomic"
)

// signalStarved makes the renewal that is under way end early, so that the
// leader learns at once of a request for which the entry has no slot.
func (s *Server) signalStarved() {
	select {
	case s.starved <- struct{}{}:
	default:
	}
}

// clearStarved drops a note that the next renewal covers.
func (s *Server) clearStarved() {
	select {
	case <-s.starved:
	default:
	}
}

// cancelWhenStarved cancels a renewal when a request is noted before it has
// ended. The result tells whether that happened.
func (s *Server) cancelWhenStarved(cancel context.CancelFunc, ended <-chan struct{}) *atomic.Bool {
	cut := new(atomic.Bool)
	go func() {
		select {
		case <-s.starved:
			cut.Store(true)
			cancel()
		case <-ended:
		}
	}()
	return cut
}
