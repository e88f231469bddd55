package clock

import "time"

// Clock gives readings. Implementations are safe for concurrent use.
type Clock interface {
	Read() Reading
}

// Reading is what the three clocks showed at one moment. Readings of different
// processes must not be compared.
type Reading struct {
	Monotonic time.Duration // since an arbitrary start; stops while the VM is suspended
	Boot      time.Duration // since an arbitrary start; runs while the VM is suspended
	Wall      time.Duration // since the Unix epoch; can be stepped
}

// MaxElapsedSince returns the most time that can have passed from earlier to r. A
// holder uses it, so that a doubt ends the lease early.
func (r Reading) MaxElapsedSince(earlier Reading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Boot-earlier.Boot, r.Wall-earlier.Wall)
}

// MinElapsedSince returns the time that has passed for certain from earlier to r. A
// granter uses it, so that a doubt makes it wait longer. The wall clock does
// not count: a step forward would end the wait early.
func (r Reading) MinElapsedSince(earlier Reading) time.Duration {
	return min(r.Monotonic-earlier.Monotonic, r.Boot-earlier.Boot)
}

// Time returns the wall clock as a time.
func (r Reading) Time() time.Time {
	return time.Unix(0, int64(r.Wall))
}
