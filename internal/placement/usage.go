package placement

import (
	"sync"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// usage keeps the latest measurement of each worker until the next round.
type usage struct {
	mu   sync.Mutex
	last map[string]resources.Amount
}

func newUsage() *usage {
	return &usage{last: make(map[string]resources.Amount)}
}

func (u *usage) record(worker string, amount resources.Amount) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last[worker] = amount
}

// take returns the measurements recorded since the last call.
func (u *usage) take() map[string]resources.Amount {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := u.last
	u.last = make(map[string]resources.Amount)
	return taken
}
