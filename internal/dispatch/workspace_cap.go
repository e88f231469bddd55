package dispatch

import (
	"math"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// unlimitedAmount stands for a resource without a limit. It leaves room for sums.
const unlimitedAmount = math.MaxInt64 / 4

// capOf returns the most that the workspace's runs may use, and false if it has no limit. A nil
// workspace has none.
func capOf(w *apiv1.Workspace) (limit resources, limited bool) {
	limit = resources{cpu: w.GetCapCpuMillis(), memory: w.GetCapMemoryMb(), accelerators: w.GetCapAccelerators()}
	for _, amount := range []*int64{&limit.cpu, &limit.memory, &limit.accelerators} {
		if *amount > 0 {
			limited = true
		} else {
			*amount = unlimitedAmount
		}
	}
	return limit, limited
}

// extended returns the limit raised by the fraction. What is unlimited remains so.
func (r resources) extended(fraction float64) resources {
	raise := func(amount int64) int64 {
		if amount >= unlimitedAmount {
			return amount
		}
		return amount + int64(fraction*float64(amount))
	}
	return resources{cpu: raise(r.cpu), memory: raise(r.memory), accelerators: raise(r.accelerators)}
}

// capRequest asks how many tasks of a unit a cap permits to start.
type capRequest struct {
	workspace string
	limit     resources
	limited   bool      // otherwise all of the tasks are permitted
	size      resources // of a task, as counted
	tasks     int       // at least 1
	gang      bool      // all of them or none
	overage   float64   // by which a gang may exceed the cap of an idle workspace, as a fraction of it
}

// permitted returns how many of the tasks may start in a workspace that uses so much. Nothing may
// start while it uses more of any resource than its limit. If it is idle, one task may start in any
// case, and a gang that exceeds the limit by the overage at most: they would never run otherwise.
func (c capRequest) permitted(used resources, idle bool) int {
	free := c.limit
	free.subtract(used)
	permitted := min(c.tasks, free.fitCount(c.size))
	if c.gang && permitted < c.tasks {
		permitted = 0
		if idle && c.limit.extended(c.overage).fitCount(c.size) >= c.tasks {
			return c.tasks
		}
	}
	if permitted == 0 && idle && (!c.gang || c.tasks == 1) {
		return 1
	}
	return permitted
}
