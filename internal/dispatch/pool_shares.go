package dispatch

// poolShares is what each workspace may use of a pool while units wait for its capacity, as computed
// at the beginning of a pass.
//
// The shares are of the pool's capacity, not of that of all pools: workspaces compete for the
// workers of one service, whatever is free in the others.
type poolShares struct {
	capacity resources
	fair     map[string]float64 // dominant shares of the workspaces with work in the pool
}

// computeShares returns the shares of the workspaces that have work in the pool, or nil if no unit of
// a workspace waits.
func (p *pool) computeShares(waiting []*unit) *poolShares {
	demand := p.demandOfWorkspaces(waiting)
	if demand == nil {
		return nil
	}
	shares := &poolShares{fair: make(map[string]float64, len(demand))}
	var free resources
	for _, w := range p.workerList {
		shares.capacity.add(w.capacity)
		free.add(w.free)
	}
	others := shares.capacity // what runs without a workspace uses
	others.subtract(free)
	for _, used := range p.occupied {
		others.subtract(used)
	}
	catalog := p.d.Table.Catalog()
	names, claims := make([]string, 0, len(demand)), make([]shareClaim, 0, len(demand))
	for name, amount := range demand {
		workspace := catalog.Workspace(name)
		if limit, limited := capOf(workspace); limited {
			amount = amount.smallest(limit)
		}
		names = append(names, name)
		claims = append(claims, shareClaim{weight: workspace.GetWeight(), demand: dominantShare(amount, shares.capacity)})
	}
	for i, share := range fairShares(claims, 1-dominantShare(others, shares.capacity)) {
		shares.fair[names[i]] = share
	}
	return shares
}

// demandOfWorkspaces returns what each workspace uses and waits for in the pool, or nil if none waits.
func (p *pool) demandOfWorkspaces(waiting []*unit) map[string]resources {
	var demand map[string]resources
	for workspace, sums := range p.parkedSums {
		if workspace == "" || sums.demand == (resources{}) {
			continue
		}
		if demand == nil {
			demand = make(map[string]resources)
		}
		demand[workspace] = sums.demand
	}
	for _, u := range waiting {
		if u.job.workspace == "" || u.parking != nil {
			continue
		}
		if demand == nil {
			demand = make(map[string]resources)
		}
		sum := demand[u.job.workspace]
		sum.add(u.size.times(u.remaining - u.active))
		demand[u.job.workspace] = sum
	}
	if demand == nil {
		return nil
	}
	for name, used := range p.occupied {
		sum := demand[name]
		sum.add(used)
		demand[name] = sum
	}
	return demand
}

// isAbove reports whether the workspace uses its fair share or more, given what it uses.
func (s *poolShares) isAbove(workspace string, used resources) bool {
	return workspace != "" && dominantShare(used, s.capacity) >= s.fair[workspace]
}

// fairShare returns the workspace's fair share. One without work in the pool has none.
func (s *poolShares) fairShare(workspace string) float64 { return s.fair[workspace] }

// tasksWithin returns how many of the unit's tasks its workspace may start until it uses its fair
// share, at least 1.
func (s *poolShares) tasksWithin(u *unit, used resources, tasks int) int {
	share, each := s.fair[u.job.workspace]-dominantShare(used, s.capacity), dominantShare(u.size, s.capacity)
	if each <= 0 || share >= each*float64(tasks) {
		return tasks
	}
	return max(1, min(tasks, int(share/each)))
}

// occupy adds the run to what its workspace uses of the pool, for the shares. A run that is being
// stopped does not count.
func (p *pool) occupy(r *run) {
	if p == nil || r.workspace == "" || r.occupying || r.phase == phaseStopping {
		return
	}
	r.occupying = true
	sum := p.occupied[r.workspace]
	sum.add(r.size)
	p.occupied[r.workspace] = sum
}

// vacate removes the run from what its workspace uses of the pool.
func (p *pool) vacate(r *run) {
	if p == nil || !r.occupying {
		return
	}
	r.occupying = false
	sum := p.occupied[r.workspace]
	sum.subtract(r.size)
	if sum == (resources{}) {
		delete(p.occupied, r.workspace)
		return
	}
	p.occupied[r.workspace] = sum
}
