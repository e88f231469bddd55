package clock

import "time"

// Clock reads the time. Implementations are safe for concurrent use.
type Clock interface {
	Read() Reading
}

// Reading holds the values of three clocks at one moment. Readings of different
// processes must not be compared.
type Reading struct {
	Monotonic time.Duration // since an arbitrary start; stops while the VM is suspended
	Boot      time.Duration // since an arbitrary start; runs while the VM is suspended
	Wall      time.Duration // since the Unix epoch; can be stepped
}

// MaxElapsedSince returns an upper bound of the time from earlier to r. A lease
// holder uses it, so that its lease ends early if the clocks disagree.
func (r Reading) MaxElapsedSince(earlier Reading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Boot-earlier.Boot, r.Wall-earlier.Wall)
}

// MinElapsedSince returns a lower bound of the time from earlier to r. A lease
// granter uses it, so that it waits longer if the clocks disagree. The wall clock
// is left out, since a step forward must not end the wait early.
func (r Reading) MinElapsedSince(earlier Reading) time.Duration {
	return min(r.Monotonic-earlier.Monotonic, r.Boot-earlier.Boot)
}

// Time returns the value of the wall clock.
func (r Reading) Time() time.Time {
	return time.Unix(0, int64(r.Wall))
}
