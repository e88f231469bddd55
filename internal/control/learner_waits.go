package control

import (
	"log/slog"
	"time"

	"github.com/pistachioport/pistachioport/internal/replica"
)

const (
	learnerWaitThreshold = 3 * time.Second // from which on a learner that has no vote yet is logged
	learnerWaitInterval  = 5 * time.Second // between two lines about the same learner
)

// learnerWaits logs the learners that wait for their votes. The zero value is ready for use.
type learnerWaits struct {
	byIncarnation map[uint64]learnerWait
}

type learnerWait struct {
	since  time.Time
	logged time.Time // zero: not yet
}

// observe records the learners as of now.
func (w *learnerWaits) observe(now time.Time, status replica.Status, logger *slog.Logger) {
	waits := make(map[uint64]learnerWait)
	for _, learner := range status.Membership.GetLearners() {
		id := learner.GetIncarnation()
		wait, ok := w.byIncarnation[id]
		if !ok {
			wait.since = now
		}
		if now.Sub(wait.since) >= learnerWaitThreshold && now.Sub(wait.logged) >= learnerWaitInterval {
			wait.logged = now
			progress := status.Progress[id]
			logger.Warn("learner waits for its vote", "learner", learner.GetName(), "waited_ms", now.Sub(wait.since).Milliseconds(),
				"behind", entriesBehind(status, progress), "heard", progress.MatchIndex > 0, "state", progress.State,
				"response_ms_ago", progress.SinceContact.Milliseconds(), "voters", len(status.Membership.GetVoters()))
		}
		waits[id] = wait
	}
	w.byIncarnation = waits
}
