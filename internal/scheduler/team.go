package scheduler

import (
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// team is the account of one team.
type team struct {
	name    string
	limited bool
	quota   resources.Amount
	own     resources.Amount // within the quota
	used    resources.Amount // borrowed included
}

func (m *team) take(r *running) {
	m.used = m.used.Plus(r.amount)
	if !r.borrowed {
		m.own = m.own.Plus(r.amount)
	}
}

func (m *team) give(r *running) {
	m.used = m.used.Minus(r.amount)
	if !r.borrowed {
		m.own = m.own.Minus(r.amount)
	}
}

// admits reports whether the amount stays within the quota.
func (m *team) admits(amount resources.Amount) bool {
	return !m.limited || m.own.Plus(amount).FitsIn(m.quota)
}

// share returns the largest share of its quota that the team uses. A team
// without a quota is measured by the whole cell.
func (m *team) share(whole resources.Amount) float64 {
	if m.limited {
		return m.used.DominantShare(m.quota)
	}
	return m.used.DominantShare(whole)
}
