package clock

import (
	"sync"
	"time"
)

// Manual is a clock for tests, which moves only when its methods are called. It is
// safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Reading
}

var _ Clock = (*Manual)(nil)

// NewManual returns a clock whose wall clock is at start and whose other clocks are
// at zero.
func NewManual(start time.Time) *Manual {
	return &Manual{now: Reading{Wall: time.Duration(start.UnixNano())}}
}

// Read returns the current reading.
func (m *Manual) Read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves all three clocks forward, as while the VM runs.
func (m *Manual) Advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Monotonic += by
	m.now.Boot += by
	m.now.Wall += by
}

// Suspend moves the clocks as during a suspension of the VM: all but the monotonic
// clock go forward.
func (m *Manual) Suspend(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Boot += by
	m.now.Wall += by
}

// StepWall steps the wall clock forward, or back if by is negative.
func (m *Manual) StepWall(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall += by
}
