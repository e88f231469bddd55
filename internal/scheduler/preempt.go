package scheduler

import (
	"cmp"
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// candidate is a worker with the victims that free capacity there, and their
// cost.
type candidate struct {
	allocation
	victims []*liveAttempt
	cost    float64
}

// preempt stops less important attempts so that n tasks of the job fit, and
// reserves the capacity for the job. It returns true if that capacity is being
// freed, now or by an earlier call, and false if no victims suffice or attempts
// that are already stopping free enough.
func (c *Cell) preempt(j *job, n int, d *Decision) bool {
	if res, ok := c.reservations[j.name]; ok && res.availableAt <= c.now {
		return true // the victims are stopping
	}
	if !c.hasVictim(j) {
		return false
	}
	c.searches++
	candidates := c.preemptionCandidates(j, n)
	chosen := selectCheapest(candidates, n)
	if chosen == nil {
		return false
	}
	amounts := make(map[string]resources.Amount, len(chosen))
	for _, cand := range chosen {
		amounts[cand.worker.Name] = j.amount.Times(int64(cand.tasks))
		for _, a := range cand.victims {
			c.stopVictim(a, d)
		}
	}
	c.addReservation(&reservation{job: j.name, availableAt: c.now, expiresAt: c.now + preemptionGraceMs, refreshedAt: c.now, class: j.class(), amounts: amounts})
	return true
}

// stopVictim stops an attempt and, if it belongs to a gang, the whole gang.
func (c *Cell) stopVictim(a *liveAttempt, d *Decision) {
	if a.stopping {
		return
	}
	c.stopAttempt(a, d)
	if a.kind != apiv1.JobKind_JOB_KIND_GANG {
		return
	}
	for _, t := range c.jobs[a.job].tasks {
		if t.live != nil && !t.live.stopping {
			c.stopAttempt(t.live, &Decision{}) // the task table stops the rest of the gang
		}
	}
}

// preemptibleFor reports whether the attempt may be stopped for the job.
// Borrowed attempts yield to jobs of teams with a quota and to urgent jobs, others
// only to urgent jobs of a higher class.
func (c *Cell) preemptibleFor(a *liveAttempt, j *job) bool {
	if !a.preemptible() || a.job == j.name {
		return false
	}
	if a.borrowed {
		return c.team(j.spec.GetTeam()).hasQuota || j.class() == apiv1.Class_CLASS_URGENT
	}
	urgent := j.class() == apiv1.Class_CLASS_URGENT && a.class != apiv1.Class_CLASS_URGENT
	return urgent && a.kind != apiv1.JobKind_JOB_KIND_GANG
}

func (c *Cell) preemptionCandidates(j *job, n int) []candidate {
	var all []candidate
	request := c.newRequest(j)
	for _, r := range c.sortedRacks {
		for _, w := range r.workers {
			if !w.usable() || !j.amount.FitsIn(w.Capacity) {
				continue
			}
			if cand, ok := c.preemptionCandidate(request, w, n); ok {
				all = append(all, cand)
			}
		}
	}
	return all
}

// preemptionCandidate finds the fewest victims on the worker that make up to n
// tasks fit. It returns false if no task would fit.
func (c *Cell) preemptionCandidate(r *Request, w *Worker, n int) (candidate, bool) {
	others, _ := c.reservedForOthers(r, w)
	free := w.Free.Minus(others)
	var victims []*liveAttempt
	for _, live := range w.attempts {
		if live.stopping {
			free = free.Plus(live.amount)
		} else if c.preemptibleFor(live, r.job) {
			victims = append(victims, live)
		}
	}
	cand := candidate{allocation: allocation{worker: w, tasks: free.FitCount(r.Amount, n)}}
	if cand.tasks == n {
		return cand, true
	}
	slices.SortFunc(victims, compareVictims)
	var pending []*liveAttempt
	for _, v := range victims {
		free = free.Plus(v.amount)
		pending = append(pending, v)
		if fit := free.FitCount(r.Amount, n); fit > cand.tasks {
			cand.tasks = fit
			cand.victims = append(cand.victims, pending...)
			pending = nil
		}
		if cand.tasks == n {
			break
		}
	}
	for _, v := range cand.victims {
		cand.cost += v.preemptionCost(c.now)
	}
	return cand, cand.tasks > 0
}

// compareVictims orders attempts by who is stopped first: not of a gang,
// borrowed, of a lower class, with a checkpoint, placed last.
func compareVictims(a, b *liveAttempt) int {
	return cmp.Or(
		compareBool(b.kind == apiv1.JobKind_JOB_KIND_GANG, a.kind == apiv1.JobKind_JOB_KIND_GANG),
		compareBool(a.borrowed, b.borrowed),
		cmp.Compare(b.class, a.class),
		compareBool(a.checkpoints, b.checkpoints),
		cmp.Compare(b.placedAt, a.placedAt),
		cmp.Compare(a.id, b.id),
	)
}

// compareBool orders true before false.
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
	// basePreemptionCost is the cost of any preemption, in processor milliseconds.
	basePreemptionCost = 1000
	// gangCostFactor applies to gangs, whose other tasks stop too.
	gangCostFactor = 64
	// withinQuotaCostFactor applies to attempts within their team's quota.
	withinQuotaCostFactor = 16
)

// preemptionCost returns the weighted cost of stopping the attempt, in processor
// milliseconds. It includes the work done unless a checkpoint saves it.
func (a *liveAttempt) preemptionCost(now int64) float64 {
	cost := float64(basePreemptionCost)
	if !a.checkpoints {
		cost += float64(now-a.placedAt) * float64(a.amount.CPU) / 1000
	}
	if a.kind == apiv1.JobKind_JOB_KIND_GANG {
		cost *= gangCostFactor
	}
	if !a.borrowed {
		cost *= withinQuotaCostFactor
	}
	return cost
}

// selectCheapest chooses candidates for n tasks by the lowest cost per task. It
// returns nil if they don't suffice, or if nothing needs to be stopped.
func selectCheapest(candidates []candidate, n int) []candidate {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost/float64(a.tasks), b.cost/float64(b.tasks)),
			cmp.Compare(b.tasks, a.tasks),
		)
	})
	var chosen []candidate
	stops := 0
	for _, b := range candidates {
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
