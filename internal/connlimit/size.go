package connlimit

import "sync/atomic"

// Size tells whether a deployment is large: whether it has more workers than the plan of a control process that is the
// same in every role can serve. All that is done differently for large deployments depends on it. It may be used
// concurrently.
type Size struct {
	threshold int // workers
	large     atomic.Bool
}

// largeEndNumerator and largeEndDenominator are the fraction of the threshold below which a deployment is no longer
// large. The number of workers falls for some seconds when many are lost together.
const (
	largeEndNumerator   = 3
	largeEndDenominator = 4
)

// NewSize returns the size of a deployment whose control processes have the plan. The threshold is the number of
// workers to which a leader can hold a long poll and a connection for orders each; three processes have report
// connections for as many. It is 1,241 with 4,100 descriptors.
func NewSize(plan Plan) *Size { return &Size{threshold: plan.Holds} }

// Update records the number of workers, and reports whether the deployment is large.
func (s *Size) Update(workers int) bool {
	switch {
	case workers > s.threshold:
		s.large.Store(true)
	case workers < s.threshold*largeEndNumerator/largeEndDenominator:
		s.large.Store(false)
	}
	return s.large.Load()
}

// IsLarge reports whether the deployment was large at the last update.
func (s *Size) IsLarge() bool { return s.large.Load() }
