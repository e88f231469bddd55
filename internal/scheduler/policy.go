package scheduler

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// maxCandidates bounds the workers that are scored for one batch task.
const maxCandidates = 16

var (
	packing   = []Scorer{tightScore{}, usageScore{}}
	spreading = []Scorer{apartScore{}, tightScore{}, usageScore{}}
)

// pick returns the best worker for the task; nil: none can take it. The second
// result is true if the task would use room reserved for another job.
func (c *Cell) pick(r *Request) (*Worker, bool) {
	if c.isTooLarge(r.Amount) {
		return nil, false
	}
	b := &best{cell: c, request: r}
	if r.job.service() || r.job.spec.GetSpread() != apiv1.Spread_SPREAD_UNSPECIFIED {
		c.pickSpread(b)
	} else {
		c.pickPacked(b)
	}
	if b.worker == nil && b.seen == 0 {
		c.noteTooLarge(r.Amount)
	}
	return b.worker, b.backfill
}

// best keeps the candidate with the highest score.
type best struct {
	cell     *Cell
	request  *Request
	worker   *Worker
	backfill bool
	score    float64
	seen     int // workers with room, reserved or not
	scored   int
}

// consider scores one worker that has room.
func (b *best) consider(w *Worker, scores []Scorer) {
	b.seen++
	ok, backfill := b.cell.admits(b.request, w)
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

// pickPacked looks at workers with few free processors first. Workers with
// accelerators are left to tasks that need them while others have room.
func (c *Cell) pickPacked(b *best) {
	visit := func(w *Worker) bool {
		b.consider(w, packing)
		return b.scored < maxCandidates
	}
	if b.request.Amount.Accelerators == 0 {
		c.plain.visit(b.request.Amount, visit)
	}
	if b.worker == nil {
		c.special.visit(b.request.Amount, visit)
	}
}

// pickSpread takes the failure domain, then the rack, that has the fewest
// tasks of the job, among those with room.
func (c *Cell) pickSpread(b *best) {
	j := b.request.job
	var chosen *best
	var chosenKey [2]int
	for _, r := range c.order {
		key := [2]int{j.domains[r.domain], j.racks[rackKey{r.domain, r.name}]}
		if j.spec.GetSpread() == apiv1.Spread_SPREAD_RACK {
			key[0], key[1] = key[1], key[0]
		}
		if chosen != nil && !less(key, chosenKey) || !r.may(b.request.Amount) {
			continue
		}
		within := &best{cell: c, request: b.request}
		for _, w := range r.workers {
			if w.usable() && b.request.Amount.FitsIn(w.Free) {
				within.consider(w, spreading)
			}
		}
		b.seen += within.seen
		if within.worker != nil {
			chosen, chosenKey = within, key
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
