package scheduler

import (
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// team tracks one team's quota and usage.
type team struct {
	name        string
	hasQuota    bool
	quota       resources.Amount
	withinQuota resources.Amount // held by attempts that are not borrowed
	used        resources.Amount // held by all attempts
}

func (t *team) addUsage(a *liveAttempt) {
	t.used = t.used.Plus(a.amount)
	if !a.borrowed {
		t.withinQuota = t.withinQuota.Plus(a.amount)
	}
}

func (t *team) removeUsage(a *liveAttempt) {
	t.used = t.used.Minus(a.amount)
	if !a.borrowed {
		t.withinQuota = t.withinQuota.Minus(a.amount)
	}
}

// quotaAllows reports whether the amount fits in the rest of the quota.
func (t *team) quotaAllows(amount resources.Amount) bool {
	return !t.hasQuota || t.withinQuota.Plus(amount).FitsIn(t.quota)
}

// dominantShare returns the largest share that the team uses of any resource of
// its quota, or of the cell's capacity if it has no quota.
func (t *team) dominantShare(whole resources.Amount) float64 {
	if t.hasQuota {
		return t.used.DominantShare(t.quota)
	}
	return t.used.DominantShare(whole)
}
