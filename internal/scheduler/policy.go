package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// maxScored bounds the workers that are scored for one batch task.
const maxScored = 16

var (
	packingScorers   = []Scorer{bestFitScorer{}, usageScorer{}}
	spreadingScorers = []Scorer{antiAffinityScorer{}, bestFitScorer{}, usageScorer{}}
)

// selectWorker returns the best worker for the task; nil: none can take it. The second
// result is true if the task would use room reserved for another job.
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

// bestWorker keeps the candidate with the highest score.
type bestWorker struct {
	cell     *Cell
	request  *Request
	worker   *Worker
	backfill bool
	score    float64
	fitting  int // workers with room, reserved or not
	scored   int
}

// consider scores one worker that has room.
func (b *bestWorker) consider(w *Worker, scores []Scorer) {
	b.fitting++
	ok, backfill := b.cell.reservationsAllow(b.request, w)
	if !ok {
		return
	}
	b.scored++
	sum := 0.0
	for _, score := range scores {
		sum += score.Score(b.request, w)
	}
	if b.worker == nil || sum > b.score || sum == b.score && w.Name < b.worker.Name {
		b.worker, b.backfill, b.score = w, backfill, sum
	}
}

// selectPacked looks at workers with few free processors first. Workers with
// accelerators are left to tasks that need them while others have room.
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

// selectSpread takes the failure domain, then the rack, that has the fewest
// tasks of the job, among those with room.
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
