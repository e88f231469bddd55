package scheduler

import (
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// team is the account of one team.
type team struct {
	name        string
	hasQuota    bool
	quota       resources.Amount
	withinQuota resources.Amount // within the quota
	used        resources.Amount // borrowed included
}

func (t *team) charge(r *liveAttempt) {
	t.used = t.used.Plus(r.amount)
	if !r.borrowed {
		t.withinQuota = t.withinQuota.Plus(r.amount)
	}
}

func (t *team) uncharge(r *liveAttempt) {
	t.used = t.used.Minus(r.amount)
	if !r.borrowed {
		t.withinQuota = t.withinQuota.Minus(r.amount)
	}
}

// quotaAllows reports whether the amount stays within the quota.
func (t *team) quotaAllows(amount resources.Amount) bool {
	return !t.hasQuota || t.withinQuota.Plus(amount).FitsIn(t.quota)
}

// dominantShare returns the largest share of its quota that the team uses. A team
// without a quota is measured by the whole cell.
func (t *team) dominantShare(whole resources.Amount) float64 {
	if t.hasQuota {
		return t.used.DominantShare(t.quota)
	}
	return t.used.DominantShare(whole)
}
