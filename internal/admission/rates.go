package admission

import "time"

const (
	// MinRetry is the shortest time after which a refused caller should come back.
	MinRetry = 500 * time.Millisecond
	// maxRateRetry and maxHopelessRetry are the longest such times. The second one is longer because
	// it is the time of a backlog.
	maxRateRetry     = 5 * time.Second
	maxHopelessRetry = 30 * time.Second
	// defaultRateWindow applies if the settings name no window.
	defaultRateWindow = 5 * time.Second
	// minBurst lets a workspace with a rate below one job a window send one.
	minBurst = 1
	// prunedBuckets is the number of buckets from which full ones are dropped; a new bucket is
	// full, too.
	prunedBuckets = 4096
)

// Rates holds the token buckets of the workspaces.
type Rates struct {
	window  time.Duration
	buckets map[string]*bucket
}

// NewRates returns full buckets whose burst is the number of jobs of the window; 0: of the
// default window.
func NewRates(window time.Duration) *Rates {
	if window <= 0 {
		window = defaultRateWindow
	}
	return &Rates{window: window, buckets: make(map[string]*bucket)}
}

// bucketOf returns the workspace's bucket, refilled.
func (r *Rates) bucketOf(now time.Time, workspace string, rate float64) *bucket {
	burst := max(minBurst, rate*r.window.Seconds())
	b := r.buckets[workspace]
	if b == nil {
		r.prune(now)
		b = &bucket{tokens: burst, at: now}
		r.buckets[workspace] = b
	}
	b.refill(now, rate, burst)
	return b
}

// prune drops full buckets, of workspaces that send nothing, once there are many.
func (r *Rates) prune(now time.Time) {
	if len(r.buckets) < prunedBuckets {
		return
	}
	for workspace, b := range r.buckets {
		b.refill(now, b.rate, b.burst)
		if b.tokens >= b.burst {
			delete(r.buckets, workspace)
		}
	}
}
