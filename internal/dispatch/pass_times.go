package dispatch

import "time"

// passTimes tells when the last scheduling pass took place.
type passTimes struct{ begin, end time.Time }

const (
	// minPassDelay batches events that arrive together into one scheduling pass.
	minPassDelay = time.Millisecond
	// passRestFactor is the rest after a scheduling pass, as a multiple of its length, up to
	// maxPassRest. Passes thus leave the processor to requests and reports.
	passRestFactor = 12
	maxPassRest    = idlePassInterval
)

// delay returns the time from now, when a pass is requested, until the pass begins. After a rest a
// pass begins at once, so an idle leader places an urgent unit without delay.
//
// Load pattern: many units wait, so that a pass takes long, and ends and advice request
// passes all the time. The starts that were decided on would be sent late, and the ends
// that free capacity learned late.
func (l passTimes) delay(now time.Time) time.Duration {
	rest := min(passRestFactor*l.end.Sub(l.begin), maxPassRest)
	return max(minPassDelay, l.end.Add(rest).Sub(now))
}
