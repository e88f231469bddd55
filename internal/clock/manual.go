package clock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only when told to, for tests of other packages.
type Manual struct {
	mu  sync.Mutex
	now Reading
}

var _ Clock = (*Manual)(nil)

// NewManual returns a clock whose wall clock shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: Reading{Wall: time.Duration(start.UnixNano())}}
}

// Read returns the present reading.
func (m *Manual) Read() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves all three clocks.
func (m *Manual) Advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Monotonic += by
	m.now.Boot += by
	m.now.Wall += by
}

// Suspend moves the clocks as a suspended VM sees it: the monotonic clock
// stands still.
func (m *Manual) Suspend(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Boot += by
	m.now.Wall += by
}

// StepWall moves the wall clock alone.
func (m *Manual) StepWall(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall += by
}
