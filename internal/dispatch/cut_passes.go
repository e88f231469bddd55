package dispatch

import "sync"

// startShares are the shares of the slots for start requests that units may use, by the band of their calls. The slots in use
// by better bands count.
//
// Load pattern: a leader that is short of processor time works off a backlog. Each start in progress delays the others, so
// urgent tasks would start no sooner than those whose result has no value any more.
var startShares = [...]float64{bandUrgent: 1, bandOnTime: 0.5, bandLate: 0.5, bandExpired: 0.25}

// startRoom returns how many starts of the unit may be planned now.
func (p *pool) startRoom(u *unit) int64 { return p.d.orderSlots.roomWithin(startShares[u.callBand()]) }

// cutForStarts records that the pass leaves out tasks of the unit until fewer starts are planned.
func (s *passState) cutForStarts(u *unit) {
	s.cut = true
	s.cutShare = max(s.cutShare, startShares[u.callBand()])
}

// cutPasses holds the pools whose last pass left out tasks because start requests waited for slots, with the largest
// share of the slots that they may use. The slots are shared, so the starts of any pool may have cut it.
type cutPasses struct {
	mu    sync.Mutex
	pools map[*pool]float64
}

func (c *cutPasses) add(p *pool, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[*pool]float64)
	}
	c.pools[p] = max(c.pools[p], share)
}

// take returns the pools whose share of the slots has room, and removes them.
func (c *cutPasses) take(slots *callSlots) []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []*pool
	for p, share := range c.pools {
		if slots.roomWithin(share) > 0 {
			taken = append(taken, p)
			delete(c.pools, p)
		}
	}
	return taken
}

// resumeCutPasses requests the passes that continue those that were cut, if few start
// requests wait for slots now.
func (d *Dispatcher) resumeCutPasses() {
	for _, p := range d.cutPasses.take(d.orderSlots) {
		p.requestPass()
	}
}

// recordCut makes the pass be continued once there are slots, if it was cut for lack of them.
func (p *pool) recordCut(pass *passState) {
	if pass.cutShare > 0 {
		p.d.cutPasses.add(p, pass.cutShare)
		p.d.resumeCutPasses() // the last start may have ended meanwhile
	}
}
