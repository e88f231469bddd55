package dispatch

import (
	"cmp"
	"slices"
)

// compareUnits returns a negative number if a is placed before b.
func compareUnits(a, b *unit) int {
	return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.job.id, b.job.id),
		cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
}

// rankByShares ranks the units by the pool's shares.
func (p *pool) rankByShares(waiting []*unit, pass *passState) {
	pass.shares = p.shares
	if p.shares == nil {
		return
	}
	for _, u := range waiting {
		u.rank.aboveShare = p.shares.isAbove(u.job.workspace, p.occupied[u.job.workspace])
	}
}

// placeByShares places the units, which are sorted, so that within a band no workspace exceeds its fair
// share before the others have had theirs. Units whose workspace has reached its share come after
// those of the band whose workspaces have not, in the order of their ranks.
func (p *pool) placeByShares(waiting []*unit, pass *passState) {
	for len(waiting) > 0 {
		end := 1
		for end < len(waiting) && !waiting[end].rank.outranks(waiting[0].rank) && !waiting[0].rank.outranks(waiting[end].rank) {
			end++
		}
		if !p.placeBand(waiting[:end], pass) {
			return
		}
		waiting = waiting[end:]
	}
}

// placeBand is placeByShares for units of one band. It returns false if the pass has to end.
func (p *pool) placeBand(units []*unit, pass *passState) bool {
	var above []*unit
	for _, u := range units {
		if u.rank.aboveShare || pass.shares.isAbove(u.job.workspace, p.occupied[u.job.workspace]) {
			u.rank.aboveShare = true
			above = append(above, u)
			continue
		}
		pass.withinShare, pass.cutByShare = u.job.workspace != "", false
		ok := p.placeNext(u, pass)
		pass.withinShare = false
		if !ok {
			return false
		}
		if pass.cutByShare {
			u.rank.aboveShare = true
			above = append(above, u)
		}
	}
	slices.SortFunc(above, compareUnits)
	for _, u := range above {
		if !p.placeNext(u, pass) {
			return false
		}
	}
	return true
}

// cutToShare returns those of the unit's tasks with which its workspace reaches its fair share. The
// others are placed after the units of other workspaces. A gang is not cut.
func (p *pool) cutToShare(u *unit, tasks []*task, pass *passState) []*task {
	if !pass.withinShare || u.spec.GetGang() {
		return tasks
	}
	within := pass.shares.tasksWithin(u, p.occupied[u.job.workspace], len(tasks))
	pass.cutByShare = within < len(tasks)
	return tasks[:within]
}
