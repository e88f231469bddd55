package dispatch

import "time"

// adviceCall is a call to the policy service.
type adviceCall struct {
	unit           *unit
	address        string // of the entry that makes it; "": this process
	workers        []*worker
	sentAt         time.Time
	expectedAnswer time.Time
}

// ticketExpiry returns when the tickets of an answer that was received at the time expire.
// What comes later than expected may have been late on its way, so its tickets count from
// the expected answer. The policy service may as well have been slow: each ticket may be
// used for some time, or a task would ask for ever.
func (c adviceCall) ticketExpiry(validity time.Duration, received time.Time) time.Time {
	decided := received
	if c.expectedAnswer.Before(received) {
		decided = c.expectedAnswer
	}
	usable := validity - ticketMargin
	return latestOf(decided.Add(usable), received.Add(min(usable, minTicketUse)))
}

// minTicketUse is how long a ticket may be used from its receipt: the time until passes that
// follow have placed its unit.
const minTicketUse = 2 * idlePassInterval
