package scheduler

import "github.com/pistachioport/pistachioport/internal/scheduler/resources"

// Scorer ranks a worker that can take the task; the highest sum of scores wins.
type Scorer interface {
	Score(r *Request, w *Worker) float64
}

// bestFitScorer prefers the worker with the least capacity left after placement,
// and with processors and memory left in balance.
type bestFitScorer struct{}

// imbalanceWeight weighs the difference between the free shares of processors and
// memory: later tasks can't use what is left of one resource alone.
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

// antiAffinityScorer prefers the worker with the fewest tasks of the same job.
type antiAffinityScorer struct{}

// antiAffinityWeight outweighs all other scores.
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

// usageScorer avoids workers whose tasks use more than they declared. It is only a
// preference, because the measurement lags.
type usageScorer struct{}

// usageWeight is the penalty of a worker that is fully used although its tasks
// declared nothing.
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
