package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pistachioport/pistachioport/internal/scheduler/resources"
)

// firstFit places each amount on the first worker that fits it, and returns the
// number of workers used.
func firstFit(capacity resources.Amount, amounts []resources.Amount) int {
	var free []resources.Amount
	for _, amount := range amounts {
		at := 0
		for at < len(free) && !amount.FitsIn(free[at]) {
			at++
		}
		if at == len(free) {
			free = append(free, capacity)
		}
		free[at] = free[at].Minus(amount)
	}
	return len(free)
}

// volumeBound returns a lower bound of the workers needed for the sum of all
// amounts.
func volumeBound(capacity resources.Amount, amounts []resources.Amount) int {
	var sum resources.Amount
	for _, amount := range amounts {
		sum = sum.Plus(amount)
	}
	up := func(part, whole int64) int { return int((part + whole - 1) / whole) }
	return max(up(sum.CPU, capacity.CPU), up(sum.Memory, capacity.Memory))
}

// BenchmarkPacking counts the workers that each user's batch tasks use if they are
// published one after another.
func BenchmarkPacking(b *testing.B) {
	const tasks = 2000
	for _, m := range []workload{despacho(), sagarmatha()} {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				r := rand.New(rand.NewPCG(3, 3))
				var amounts []resources.Amount
				for range tasks {
					amount, _ := m.batch(r)
					amounts = append(amounts, amount)
				}
				h := newHarness()
				h.workers(tasks/2, m.worker)
				used := make(map[string]bool)
				for i, amount := range amounts {
					h.publish(batchJob(fmt.Sprintf("j%d", i), amount, 1))
					for _, a := range placed(h.round(1)) {
						used[a.GetWorker()] = true
					}
				}
				if len(h.running) != tasks {
					b.Fatalf("%d of %d tasks are placed", len(h.running), tasks)
				}
				b.ReportMetric(float64(len(used)), "workers")
				b.ReportMetric(float64(firstFit(m.worker, amounts)), "first-fit")
				b.ReportMetric(float64(volumeBound(m.worker, amounts)), "volume-bound")
			}
		})
	}
}
