package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

const (
	// diskStallThreshold is the duration from which on a disk operation counts as
	// stalled. By then the other members have elected another leader.
	diskStallThreshold = time.Second
	diskCheckInterval  = 250 * time.Millisecond
)

// diskMonitor detects that the disk does not answer. The loop waits for the disk, so a
// member whose disk is stalled neither acknowledges nor votes; the monitor only reports.
type diskMonitor struct {
	logger   *slog.Logger
	counters counters

	mu       sync.Mutex
	begun    time.Time // of the operation in progress; zero: none
	reported bool      // the operation in progress was logged as stalled
}

// begin records that a disk operation begins. The caller calls end when it has ended.
func (m *diskMonitor) begin(now time.Time) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun = now
	return m.end
}

func (m *diskMonitor) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reported {
		m.logger.Info("disk answers again", "stalled_ms", time.Since(m.begun).Milliseconds())
		m.counters.diskStalled.Update(0)
	}
	m.begun, m.reported = time.Time{}, false
}

// run logs each stall once, until ctx ends.
func (m *diskMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(diskCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.check()
		}
	}
}

func (m *diskMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.begun.IsZero() || m.reported || time.Since(m.begun) < diskStallThreshold {
		return
	}
	m.reported = true
	m.counters.diskStalled.Update(1)
	m.logger.Error("disk does not answer; this member neither acknowledges nor votes until it does",
		"waited_ms", time.Since(m.begun).Milliseconds())
}

// problem describes a stall in progress; empty if there is none.
func (m *diskMonitor) problem() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reported {
		return ""
	}
	return fmt.Sprintf("the disk has not answered for %s", time.Since(m.begun).Round(time.Second))
}
