package replica

import (
	"slices"
	"time"
)

// syncTimes holds how long the latest syncs of the log took.
type syncTimes struct {
	latest [4]time.Duration
	next   int // position of the oldest one
}

func (s *syncTimes) record(length time.Duration) {
	s.latest[s.next] = length
	s.next = (s.next + 1) % len(s.latest)
}

// typical returns the second longest of the latest syncs: a single one that hangs doesn't count.
func (s *syncTimes) typical() time.Duration {
	sorted := s.latest
	slices.Sort(sorted[:])
	return sorted[len(sorted)-2]
}
