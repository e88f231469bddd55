package scheduler

import (
	"cmp"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// bid is what it would cost to make room for some tasks on one worker.
type bid struct {
	slot
	victims []*running
	cost    float64
}

// preempt stops less important attempts so that n tasks of the job fit, and
// keeps the room for it. It returns false if that is not possible, or done
// already and not yet complete.
func (c *Cell) preempt(j *job, n int, d *Decision) bool {
	if kept, ok := c.reservations[j.name]; ok && kept.due <= c.now {
		return true // the room is being made
	}
	if !c.anyVictim(j) {
		return false
	}
	c.scans++
	bids := c.bids(j, n)
	chosen := cheapest(bids, n)
	if chosen == nil {
		return false
	}
	slots := make(map[string]resources.Amount, len(chosen))
	for _, b := range chosen {
		slots[b.worker.Name] = j.amount.Times(int64(b.tasks))
		for _, r := range b.victims {
			c.stopVictim(r, d)
		}
	}
	c.keep(&reservation{job: j.name, due: c.now, last: c.now + preemptedMs, made: c.now, class: j.class(), slots: slots})
	return true
}

// stopVictim stops an attempt, and with it the whole gang it is of.
func (c *Cell) stopVictim(r *running, d *Decision) {
	if r.stopping {
		return
	}
	c.stopLive(r, d)
	if r.kind != apiv1.JobKind_JOB_KIND_GANG {
		return
	}
	for _, k := range c.jobs[r.job].tasks {
		if k.live != nil && !k.live.stopping {
			c.stopLive(k.live, &Decision{}) // the table stops the rest of the gang
		}
	}
}

// yields reports whether the attempt may be stopped for the job.
func (c *Cell) yields(r *running, j *job) bool {
	if !r.preemptible() || r.job == j.name {
		return false
	}
	if r.borrowed {
		return c.team(j.spec.GetTeam()).limited || j.class() == apiv1.Class_CLASS_URGENT
	}
	urgent := j.class() == apiv1.Class_CLASS_URGENT && r.class != apiv1.Class_CLASS_URGENT
	return urgent && r.kind != apiv1.JobKind_JOB_KIND_GANG
}

func (c *Cell) bids(j *job, n int) []bid {
	var all []bid
	request := c.request(j)
	for _, r := range c.order {
		for _, w := range r.workers {
			if !w.usable() || !j.amount.FitsIn(w.Capacity) {
				continue
			}
			if b, ok := c.bidOf(request, w, n); ok {
				all = append(all, b)
			}
		}
	}
	return all
}

// bidOf finds the fewest victims that make room for up to n tasks.
func (c *Cell) bidOf(r *Request, w *Worker, n int) (bid, bool) {
	others, _ := c.othersReserved(r, w)
	room := w.Free.Minus(others)
	var victims []*running
	for _, live := range w.live {
		if live.stopping {
			room = room.Plus(live.amount)
		} else if c.yields(live, r.job) {
			victims = append(victims, live)
		}
	}
	b := bid{slot: slot{worker: w, tasks: room.FitCount(r.Amount, n)}}
	if b.tasks == n {
		return b, true
	}
	slices.SortFunc(victims, compareVictims)
	var pending []*running
	for _, v := range victims {
		room = room.Plus(v.amount)
		pending = append(pending, v)
		if held := room.FitCount(r.Amount, n); held > b.tasks {
			b.tasks = held
			b.victims = append(b.victims, pending...)
			pending = nil
		}
		if b.tasks == n {
			break
		}
	}
	for _, v := range b.victims {
		b.cost += v.loss(c.now)
	}
	return b, b.tasks > 0
}

// compareVictims puts first what is stopped first: no gang, borrowed, of a low
// class, with its progress saved, started last.
func compareVictims(a, b *running) int {
	return cmp.Or(
		compareBool(b.kind == apiv1.JobKind_JOB_KIND_GANG, a.kind == apiv1.JobKind_JOB_KIND_GANG),
		compareBool(a.borrowed, b.borrowed),
		cmp.Compare(b.class, a.class),
		compareBool(a.saves, b.saves),
		cmp.Compare(b.placedAt, a.placedAt),
		cmp.Compare(a.id, b.id),
	)
}

// compareBool puts true first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

const (
	// stopCost is the cost of any preemption, in processor milliseconds.
	stopCost = 1000
	// gangCost is the factor for a gang, whose other tasks stop too.
	gangCost = 64
	// ownCost is the factor for work within its team's quota.
	ownCost = 16
)

// loss returns the work lost if the attempt stops, in processor milliseconds.
func (r *running) loss(now int64) float64 {
	lost := float64(stopCost)
	if !r.saves {
		lost += float64(now-r.placedAt) * float64(r.amount.CPU) / 1000
	}
	if r.kind == apiv1.JobKind_JOB_KIND_GANG {
		lost *= gangCost
	}
	if !r.borrowed {
		lost *= ownCost
	}
	return lost
}

// cheapest chooses bids for n tasks, least cost for each task first; nil: they
// don't suffice, or nothing need be stopped.
func cheapest(bids []bid, n int) []bid {
	slices.SortStableFunc(bids, func(a, b bid) int {
		return cmp.Or(
			cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks)),
			cmp.Compare(b.tasks, a.tasks),
		)
	})
	var chosen []bid
	stops := 0
	for _, b := range bids {
		if n <= 0 {
			break
		}
		b.tasks = min(b.tasks, n)
		n -= b.tasks
		stops += len(b.victims)
		chosen = append(chosen, b)
	}
	if n > 0 || stops == 0 {
		return nil
	}
	return chosen
}
