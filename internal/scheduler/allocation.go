package scheduler

import "slices"

// allocation is a number of tasks to place on one worker.
type allocation struct {
	worker *Worker
	tasks  int
}

// selectAllocations chooses allocations for n tasks: the largest first, and for
// the remainder the smallest one that holds all of it. Together, the allocations
// must hold n tasks.
func selectAllocations(all []allocation, n int) []allocation {
	slices.SortStableFunc(all, func(a, b allocation) int { return b.tasks - a.tasks })
	var chosen []allocation
	for at := 0; at < len(all) && n > 0; at++ {
		next := all[at]
		if next.tasks >= n {
			last := at
			for last+1 < len(all) && all[last+1].tasks >= n {
				last++
			}
			next = all[last]
			next.tasks = n
		}
		chosen = append(chosen, next)
		n -= next.tasks
	}
	return chosen
}
