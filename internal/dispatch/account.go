package dispatch

// account is what the ledger counts of one workspace. The ledger's lock guards it.
type account struct {
	workspace string
	runs      resources // of counted runs
	runCount  int
	inherited map[*pool]inheritedUsage // nil: none
	holding   map[*pool]struct{}       // pools that hold units back by the cap; nil: none

	accepted, overRate, refused int64 // jobs, in this term; overRate of the accepted ones
}

// inheritedUsage is the sum of a pool's tasks that the previous leader may have started and that no
// worker has reported. Most of them wait, so no more of it counts than may run on the workers
// that have not reported. That doesn't bound the CPU of filler steps.
type inheritedUsage struct {
	tasks     int
	occupied  resources // of the workers' capacity
	fillerCPU int64     // thousandths of a core
}

// inherit adds a task of the unit to the inherited ones of the pool, or removes it.
func (a *account) inherit(p *pool, u *unit, added bool) {
	sum := a.inherited[p]
	if added {
		sum.tasks++
		sum.occupied.add(u.size)
		sum.fillerCPU += u.countedSize.cpu - u.size.cpu
	} else {
		sum.tasks--
		sum.occupied.subtract(u.size)
		sum.fillerCPU -= u.countedSize.cpu - u.size.cpu
	}
	if sum.tasks == 0 {
		delete(a.inherited, p)
		return
	}
	if a.inherited == nil {
		a.inherited = make(map[*pool]inheritedUsage)
	}
	a.inherited[p] = sum
}

// usage returns what is counted, given what may run on workers of each pool that have not reported.
func (a *account) usage(unsettled map[*pool]resources) resources {
	total := a.runs
	for p, sum := range a.inherited {
		most := unsettled[p]
		total.add(resources{
			cpu:          min(sum.occupied.cpu, most.cpu) + sum.fillerCPU,
			memory:       min(sum.occupied.memory, most.memory),
			accelerators: min(sum.occupied.accelerators, most.accelerators),
		})
	}
	return total
}

// largestUsage is usage for a time in which any run may be on the workers that have not reported.
func (a *account) largestUsage(unsettled map[*pool]resources) resources {
	total := a.runs
	for _, most := range unsettled {
		total.add(most)
	}
	for _, sum := range a.inherited {
		total.cpu += sum.fillerCPU
	}
	return total
}

// holdBack remembers that the pool holds units back.
func (a *account) holdBack(p *pool) {
	if a.holding == nil {
		a.holding = make(map[*pool]struct{})
	}
	a.holding[p] = struct{}{}
}

// requestPasses requests passes of the pools that hold units back. They hold them back anew if
// the cap still does not permit them.
func (a *account) requestPasses() {
	for p := range a.holding {
		p.releasedCaps.add(a.workspace)
		p.requestPass()
	}
	a.holding = nil
}
