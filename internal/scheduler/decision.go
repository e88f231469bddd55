package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Decision is what one round proposes.
type Decision struct {
	Plans []*apiv1.GangPlan
	Stop  []string // attempt ids that shall stop to make room or to be replaced
	// LimitReached is true if the round ended at its limit, not for want of work.
	LimitReached bool
	// NextRoundAt is when something becomes due, in Unix milliseconds; 0: nothing.
	NextRoundAt int64
}
