package tolerance

import "time"

const (
	repeatInterval = 5 * time.Second // between two reports that the tolerance is still reduced
	changeInterval = time.Second     // least time from a report to one that only the missing voters have changed
	riseHold       = time.Second     // time for which more losses must be tolerated before that is reported
)

// Tracker follows the assessments of one leadership and decides which are reported. A fall is reported at once, a rise
// once it has held, so that a voter that comes and goes doesn't cause a report each time.
// The zero value is ready for use.
type Tracker struct {
	current      Assessment
	known        bool      // there is a current assessment
	reducedSince time.Time // zero: as many losses are tolerated as when all is well
	risingSince  time.Time // zero: no more losses are tolerated than in current
	reportedAt   time.Time
}

// Update records the latest assessment and reports whether Current is to be reported.
func (t *Tracker) Update(now time.Time, latest Assessment) bool {
	if !t.known {
		return !latest.Undecided && t.adopt(now, latest)
	}
	if latest.Tolerated > t.current.Tolerated {
		if t.risingSince.IsZero() {
			t.risingSince = now
		}
		return now.Sub(t.risingSince) >= riseHold && t.adopt(now, latest)
	}
	t.risingSince = time.Time{}
	if latest.Tolerated < t.current.Tolerated {
		return t.adopt(now, latest)
	}
	if !latest.IsReduced() {
		t.current = latest
		return false
	}
	sinceReport := now.Sub(t.reportedAt)
	if sinceReport >= repeatInterval || sinceReport >= changeInterval && !latest.hasSameVoters(t.current) {
		return t.adopt(now, latest)
	}
	return false
}

// adopt makes the assessment the current one, to be reported now. It returns true.
func (t *Tracker) adopt(now time.Time, latest Assessment) bool {
	t.current, t.known = latest, true
	t.reportedAt, t.risingSince = now, time.Time{}
	if !latest.IsReduced() {
		t.reducedSince = time.Time{}
	} else if t.reducedSince.IsZero() {
		t.reducedSince = now
	}
	return true
}

// Current returns the assessment that was reported last or equals it. It returns false before the first.
func (t *Tracker) Current() (Assessment, bool) { return t.current, t.known }

// ReducedFor returns for how long fewer losses have been tolerated than when all is well.
func (t *Tracker) ReducedFor(now time.Time) time.Duration {
	if t.reducedSince.IsZero() {
		return 0
	}
	return now.Sub(t.reducedSince)
}
