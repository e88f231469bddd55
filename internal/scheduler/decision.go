package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Decision holds the placements and stops that one round proposes.
type Decision struct {
	Plans []*apiv1.GangPlan
	Stop  []string // ids of attempts to stop, because they are preempted or replaced
	// LimitReached is true if the round ended at its limit of plans, so that more
	// work may be left.
	LimitReached bool
	// NextRoundAt is when the next round is due even if nothing changes, in Unix
	// milliseconds; 0: never.
	NextRoundAt int64
}
