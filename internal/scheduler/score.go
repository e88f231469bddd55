package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

// Scorer ranks a worker that can take the task; the highest sum wins.
type Scorer interface {
	Score(r *Request, w *Worker) float64
}

// bestFitScorer prefers the worker on which the least room is left over, and the
// room that is left in balance.
type bestFitScorer struct{}

// imbalanceWeight is what room left of one resource alone costs: no later task
// can use it.
const imbalanceWeight = 0.5

func (bestFitScorer) Score(r *Request, w *Worker) float64 {
	left := w.Free.Minus(r.Amount)
	cpu := fraction(left.CPU, w.Capacity.CPU)
	memory := fraction(left.Memory, w.Capacity.Memory)
	skew := max(cpu-memory, memory-cpu)
	return -(cpu + memory + imbalanceWeight*skew)
}

func fraction(left, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(left) / float64(whole)
}

// antiAffinityScorer prefers the worker that has the fewest tasks of the same job.
type antiAffinityScorer struct{}

// antiAffinityWeight outweighs any other score.
const antiAffinityWeight = 10

func (antiAffinityScorer) Score(r *Request, w *Worker) float64 {
	same := 0
	for _, live := range w.attempts {
		if live.job == r.job.name {
			same++
		}
	}
	return -antiAffinityWeight * float64(same)
}

// usageScorer avoids workers whose tasks use more than they declared. The
// measurement lags, so it only steers.
type usageScorer struct{}

// usageWeight is what a worker in full use costs that is declared to be idle.
const usageWeight = 0.5

func (usageScorer) Score(_ *Request, w *Worker) float64 {
	if w.Usage == (resources.Amount{}) {
		return 0
	}
	declared := w.Capacity.Minus(w.Free)
	over := max(
		fraction(w.Usage.CPU-declared.CPU, w.Capacity.CPU),
		fraction(w.Usage.Memory-declared.Memory, w.Capacity.Memory),
		0,
	)
	return -usageWeight * over
}
