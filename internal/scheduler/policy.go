package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// maxScored bounds the workers that are scored for one batch task.
const maxScored = 16

var (
	packingScorers   = []Scorer{bestFitScorer{}, usageScorer{}}
	spreadingScorers = []Scorer{antiAffinityScorer{}, bestFitScorer{}, usageScorer{}}
)

// selectWorker returns the worker with the highest score, or nil if no worker can
// take the task. The second result is true if the task is a backfill: it would
// use capacity reserved for another job.
func (c *Cell) selectWorker(r *Request) (*Worker, bool) {
	if c.isInfeasible(r.Amount) {
		return nil, false
	}
	b := &bestWorker{cell: c, request: r}
	if r.job.isService() || r.job.spec.GetSpread() != apiv1.Spread_SPREAD_UNSPECIFIED {
		c.selectSpread(b)
	} else {
		c.selectPacked(b)
	}
	if b.worker == nil && b.fitting == 0 {
		c.markInfeasible(r.Amount)
	}
	return b.worker, b.backfill
}

// bestWorker keeps the worker with the highest score so far.
type bestWorker struct {
	cell     *Cell
	request  *Request
	worker   *Worker
	backfill bool
	score    float64
	fitting  int // workers whose free capacity fits the task, reserved or not
	scored   int
}

// consider scores a worker whose free capacity fits the task.
func (b *bestWorker) consider(w *Worker, scorers []Scorer) {
	b.fitting++
	ok, backfill := b.cell.reservationsAllow(b.request, w)
	if !ok {
		return
	}
	b.scored++
	sum := 0.0
	for _, scorer := range scorers {
		sum += scorer.Score(b.request, w)
	}
	if b.worker == nil || sum > b.score || sum == b.score && w.Name < b.worker.Name {
		b.worker, b.backfill, b.score = w, backfill, sum
	}
}

// selectPacked tries workers with few free processors first. It uses workers with
// accelerators for tasks without them only if no other worker can take the task.
func (c *Cell) selectPacked(b *bestWorker) {
	visit := func(w *Worker) bool {
		b.consider(w, packingScorers)
		return b.scored < maxScored
	}
	if b.request.Amount.Accelerators == 0 {
		c.cpuIndex.visit(b.request.Amount, visit)
	}
	if b.worker == nil {
		c.acceleratorIndex.visit(b.request.Amount, visit)
	}
}

// selectSpread chooses, among those that can take the task, the failure domain
// and then the rack with the fewest tasks of the job. If the job spreads over
// racks, the rack comes first.
func (c *Cell) selectSpread(b *bestWorker) {
	j := b.request.job
	var chosen *bestWorker
	var chosenKey [2]int
	for _, r := range c.sortedRacks {
		key := [2]int{j.tasksByDomain[r.domain], j.tasksByRack[rackKey{r.domain, r.name}]}
		if j.spec.GetSpread() == apiv1.Spread_SPREAD_RACK {
			key[0], key[1] = key[1], key[0]
		}
		if chosen != nil && !less(key, chosenKey) || !r.mayFit(b.request.Amount) {
			continue
		}
		inRack := &bestWorker{cell: c, request: b.request}
		for _, w := range r.workers {
			if w.usable() && b.request.Amount.FitsIn(w.Free) {
				inRack.consider(w, spreadingScorers)
			}
		}
		b.fitting += inRack.fitting
		if inRack.worker != nil {
			chosen, chosenKey = inRack, key
		}
	}
	if chosen != nil {
		b.worker, b.backfill = chosen.worker, chosen.backfill
	}
}

func less(a, b [2]int) bool {
	if a[0] != b[0] {
		return a[0] < b[0]
	}
	return a[1] < b[1]
}
