package admission

import "time"

// Reason is why a job is refused.
type Reason int

// Reasons.
const (
	Accepted       Reason = iota
	RefusedRate           // beyond the rate of its workspace, while others wait
	RefusedTooLate        // expected to start so late that it would have no value
)

// Decision is the decision on a new job.
type Decision struct {
	Reason     Reason
	OverRate   bool          // beyond the rate of its workspace
	RetryAfter time.Duration // when the caller of a refused job should come back
	Start      time.Duration // expected start, from now; 0 if nothing is known
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason != Accepted }
