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

// length returns how long the pass took.
func (l passTimes) length() time.Duration { return l.end.Sub(l.begin) }

// passSchedule tells when the next pass of a kind begins.
type passSchedule struct {
	timer     *time.Timer   // fires when the next pass is due
	idle      time.Duration // after a pass, until one that nothing requests; 0: there is none
	requested bool
	last      passTimes
}

func newPassSchedule(idle time.Duration) *passSchedule {
	s := &passSchedule{timer: time.NewTimer(idle), idle: idle}
	if idle == 0 {
		s.timer.Stop()
	}
	return s
}

// request makes the next pass due as soon as the last one permits.
func (s *passSchedule) request(now time.Time) {
	if !s.requested {
		s.requested = true
		s.timer.Reset(s.last.delay(now))
	}
}

// cancel withdraws a request.
func (s *passSchedule) cancel() {
	if s.requested {
		s.requested = false
		s.timer.Stop()
	}
}

// run executes a pass that is due.
func (s *passSchedule) run(pass func()) {
	s.requested = false
	s.last.begin = time.Now()
	pass()
	s.last.end = time.Now()
	if s.idle > 0 {
		s.timer.Reset(s.idle)
	}
}
