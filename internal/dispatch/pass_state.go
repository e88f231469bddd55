package dispatch

import "time"

// passState caches what one scheduling pass has computed.
type passState struct {
	now            time.Time
	cachedForecast *forecast
	reserved       []int               // number of workers reserved by units of each band; nil: not counted yet
	shares         *poolShares         // nil: no unit of a workspace waits
	withinShare    bool                // the unit that is placed may use no more than the share of its workspace
	cutByShare     bool                // that has left out some of its tasks
	grown          []*worker           // workers with more room than at the end of the last pass
	mostGrown      resources           // the most of each resource that is free on any of them
	opened         []*worker           // of the grown workers, those that did not take runs of some units whatever was free
	catalogChanged bool                // since the last pass
	released       map[string]struct{} // workspaces whose caps may permit more than in the last pass
	harmlessWaits  bool                // a parked unit has waited for workers for harmlessWait
	cut            bool                // not all units that wait are tried
	cutShare       float64             // of the slots for starts, the largest that a unit left out may use; 0: none was
	advisors       [bandExpired + 1][2]advisorState
}

// advisorState is what a pass knows of the calls that the policy service could take now, by the band of their units
// and by whether they are shorter than longCallCost.
type advisorState int

const (
	advisorsUnknown advisorState = iota
	advisorsFree
	advisorsBusy // for the rest of the pass
)

// newPassState returns the state of a pass that begins now and looks at all units, with what has changed since the last one.
func (p *pool) newPassState(now time.Time) *passState {
	catalog := p.d.Table.Catalog()
	pass := p.newUrgentPassState(now)
	pass.cut = false
	pass.catalogChanged, pass.released = catalog != p.catalog, p.releasedCaps.takeAll()
	p.catalog = catalog
	return pass
}

// newUrgentPassState returns the state of a pass that looks at urgent units only.
func (p *pool) newUrgentPassState(now time.Time) *passState {
	pass := &passState{now: now, cut: true}
	p.findGrown(pass)
	return pass
}

// capReleased reports whether the cap of the workspace may permit more than in the last pass.
func (s *passState) capReleased(workspace string) bool {
	_, released := s.released[workspace]
	return released || s.catalogChanged
}

// forgetFreeAdvisors makes the pass look again whether a further call could be made.
func (s *passState) forgetFreeAdvisors() {
	for i := range s.advisors {
		for j, state := range s.advisors[i] {
			if state == advisorsFree {
				s.advisors[i][j] = advisorsUnknown
			}
		}
	}
}

// reservedWorkers returns how many of the workers are reserved by units of band
// worst or a better one.
func (s *passState) reservedWorkers(workers []*worker, worst band) int {
	if s.reserved == nil {
		s.reserved = make([]int, bandOverRate+1)
		for _, w := range workers {
			if w.reservedFor != nil {
				s.reserved[w.reservedFor.rank.reservationBand()]++
			}
		}
	}
	total := 0
	for _, count := range s.reserved[:worst+1] {
		total += count
	}
	return total
}

// forecast returns the pass's forecast. What it has computed of a worker is not updated
// by later placements of the pass.
func (s *passState) forecast() *forecast {
	if s.cachedForecast == nil {
		s.cachedForecast = newForecast(s.now)
	}
	return s.cachedForecast
}
