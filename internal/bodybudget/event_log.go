package bodybudget

import (
	"log/slog"
	"maps"
	"sync"
	"time"
)

// eventLogInterval is the minimum time between two log lines.
const eventLogInterval = time.Second

// eventLog writes one line about all events of an interval, so that a flood of clients can't fill the
// log. The length of a line is bounded by the number of portions and reasons.
type eventLog struct {
	logger *slog.Logger

	mu     sync.Mutex
	last   time.Time
	counts map[string]int64 // since the last line, by portion and reason
}

// record counts an event and writes the line if the last one is old enough.
func (l *eventLog) record(event string, now time.Time) {
	l.mu.Lock()
	l.counts[event]++
	if now.Sub(l.last) < eventLogInterval {
		l.mu.Unlock()
		return
	}
	counts := maps.Clone(l.counts)
	clear(l.counts)
	l.last = now
	l.mu.Unlock()
	l.logger.Warn("requests ended or refused by the memory budget", "counts", counts)
}
