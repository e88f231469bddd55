package entry

import (
	"context"
	"sync/atomic"
)

// noteStarved makes the renewal that is under way end early, so that the
// leader learns at once of a request for which the entry has no slot.
func (s *Server) noteStarved() {
	select {
	case s.starving <- struct{}{}:
	default:
	}
}

// forgetStarved drops a note that the next renewal covers.
func (s *Server) forgetStarved() {
	select {
	case <-s.starving:
	default:
	}
}

// cutWhenStarved cancels a renewal when a request is noted before it has
// ended. The result tells whether that happened.
func (s *Server) cutWhenStarved(cancel context.CancelFunc, ended <-chan struct{}) *atomic.Bool {
	cut := new(atomic.Bool)
	go func() {
		select {
		case <-s.starving:
			cut.Store(true)
			cancel()
		case <-ended:
		}
	}()
	return cut
}
