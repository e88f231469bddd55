package bodybudget

import (
	"container/list"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Portion is the part of a budget for one kind of call. Beyond the bytes reserved for it, it may use
// those that are reserved for none.
type Portion struct {
	budget   *Budget
	name     string
	reserved int64 // bytes
	events   map[string]metrics.Counter

	// Guarded by the budget's lock.
	used      int64
	arriving  *list.List       // of *hold: requests that may be ended, the one without progress for longest first
	byAddress map[string]int64 // bytes held, by client address
}

// Reasons for which a request is refused or ended.
const (
	reasonFull     = "refused"   // there was no room
	reasonStalled  = "stalled"   // ended for another one
	reasonSlow     = "slow"      // below the minimum rate
	reasonTooLarge = "too_large" // over its limit
)

// NewPortion adds a portion with a reserved share of the budget, from 0 to 1. The shares of all portions
// must leave a rest. The portion is named in metrics and log lines.
func (b *Budget) NewPortion(name string, share float64, registry metrics.Registry) *Portion {
	p := &Portion{
		budget: b, name: name, reserved: int64(share * float64(b.total)), events: make(map[string]metrics.Counter),
		arriving: list.New(), byAddress: make(map[string]int64),
	}
	for _, reason := range []string{reasonFull, reasonStalled, reasonSlow, reasonTooLarge} {
		p.events[reason] = metrics.GetOrRegisterCounter("bodybudget."+name+"."+reason, registry)
	}
	b.mu.Lock()
	b.portions = append(b.portions, p)
	b.mu.Unlock()
	gauge := "bodybudget." + name + ".bytes"
	registry.GetOrRegister(gauge, metrics.NewFunctionalGauge(p.usedBytes))
	return p
}

func (p *Portion) usedBytes() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}

// capacity returns the bytes that the portion can hold while the others use only their reserved ones.
func (p *Portion) capacity() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.reserved + p.budget.shared()
}

// count counts a refused or ended request.
func (p *Portion) count(reason string) {
	p.events[reason].Inc(1)
	p.budget.log.record(p.name+"."+reason, time.Now())
}

// fits reports whether there is room for n more bytes. The caller holds the lock.
func (p *Portion) fits(n int64) bool {
	beyond := max(0, p.used+n-p.reserved) - max(0, p.used-p.reserved)
	return beyond == 0 || p.budget.sharedUsed()+beyond <= p.budget.shared()
}

// victim returns the hold to end for the benefit of h, or nil. It is the one without progress for longest in
// this portion or one that uses shared bytes, if it has stalled. Otherwise it is one of the address
// that holds the most, if that is more than its share. The caller holds the lock.
func (p *Portion) victim(h *hold, now time.Time) *hold {
	var oldest *hold
	for _, q := range p.budget.portions {
		if q != p && q.used <= q.reserved {
			continue
		}
		candidate := q.oldestBut(h)
		if candidate != nil && (oldest == nil || candidate.progressed.Before(oldest.progressed)) {
			oldest = candidate
		}
	}
	if oldest != nil && now.Sub(oldest.progressed) >= minStall {
		return oldest
	}
	return p.victimOfAddress(h)
}

// oldestBut returns the portion's hold without progress for longest, other than h; nil: there is none. The caller holds
// the lock.
func (p *Portion) oldestBut(h *hold) *hold {
	for element := p.arriving.Front(); element != nil; element = element.Next() {
		if candidate := element.Value.(*hold); candidate != h {
			return candidate
		}
	}
	return nil
}

// victimOfAddress returns the hold without progress for longest of the address that holds the most, if
// that is another one than that of h and holds more than its share. The caller holds the lock.
func (p *Portion) victimOfAddress(h *hold) *hold {
	largest, addresses := "", 0
	for address, bytes := range p.byAddress {
		addresses++
		if largest == "" || bytes > p.byAddress[largest] {
			largest = address
		}
	}
	if _, holds := p.byAddress[h.address]; !holds {
		addresses++
	}
	if largest == "" || largest == h.address || p.byAddress[largest] <= p.used/int64(addresses) {
		return nil
	}
	for element := p.arriving.Front(); element != nil; element = element.Next() {
		if candidate := element.Value.(*hold); candidate.address == largest {
			return candidate
		}
	}
	return nil
}
