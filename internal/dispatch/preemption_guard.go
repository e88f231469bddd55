package dispatch

// preemptionGuard protects runs from being preempted for a unit that comes after them.
type preemptionGuard struct {
	unit     *unit
	shares   *poolShares
	occupied map[string]resources // by workspace, of the pool
	taken    map[string]resources // by workspace, of the runs that were allowed to be stopped
	allowed  map[*run]bool
}

// newPreemptionGuard returns the guard of one preemption for the unit, or nil if it protects no run.
func (p *pool) newPreemptionGuard(u *unit) *preemptionGuard {
	if (p.shares == nil || !u.rank.aboveShare) && !u.rank.overRate {
		return nil
	}
	return &preemptionGuard{
		unit: u, shares: p.shares, occupied: p.occupied,
		taken: make(map[string]resources), allowed: make(map[*run]bool),
	}
}

// allows reports whether the run may be stopped for the unit: not if its job comes before an over_rate
// one, or if that leaves its workspace below its fair share and the unit's is above. Runs that were
// allowed count as stopped.
func (g *preemptionGuard) allows(r *run) bool {
	if g == nil || g.allowed[r] {
		return true
	}
	if g.unit.rank.overRate && !r.task.unit.job.overRate {
		return false
	}
	if g.unit.rank.aboveShare && g.shares != nil && r.workspace != "" && r.workspace != g.unit.job.workspace {
		taken := g.taken[r.workspace]
		taken.add(r.size)
		left := g.occupied[r.workspace]
		left.subtract(taken)
		if dominantShare(left, g.shares.capacity) < g.shares.fairShare(r.workspace) {
			return false
		}
		g.taken[r.workspace] = taken
	}
	g.allowed[r] = true
	return true
}
