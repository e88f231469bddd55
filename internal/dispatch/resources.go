package dispatch

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// resources is an amount of CPU, memory and accelerators.
type resources struct {
	cpu, memory, accelerators int64 // thousandths of a core, MB, units
}

// The largest capacity of a worker that placement can reckon with.
const (
	MaxWorkerCPUMillis    = penaltyReserved - 1 // any penalty outweighs any free CPU
	MaxWorkerMemoryMB     = 1 << 30             // a pebibyte
	MaxWorkerAccelerators = 1 << 16
)

// taskResources returns the resources that each task of the step occupies.
func taskResources(s *apiv1.JobStep) resources {
	size := resources{cpu: s.GetCpuMillis(), memory: s.GetMemoryMb(), accelerators: s.GetAccelerators()}
	if s.GetFiller() {
		size.cpu = 0 // filler tasks only use CPU time that other tasks leave idle
	}
	return size
}

// countedResources returns what each task of the step counts against the cap of its workspace.
func countedResources(s *apiv1.JobStep) resources {
	return resources{cpu: s.GetCpuMillis(), memory: s.GetMemoryMb(), accelerators: s.GetAccelerators()}
}

// capacity returns the total resources of a worker.
func capacity(w *apiv1.PoolWorker) resources {
	return resources{cpu: w.GetCpuMillis(), memory: w.GetMemoryMb(), accelerators: w.GetAccelerators()}
}

func (r *resources) add(o resources) {
	r.cpu += o.cpu
	r.memory += o.memory
	r.accelerators += o.accelerators
}

// largest returns the larger amount of each resource.
func (r resources) largest(o resources) resources {
	return resources{
		cpu: max(r.cpu, o.cpu), memory: max(r.memory, o.memory), accelerators: max(r.accelerators, o.accelerators),
	}
}

// smallest returns the smaller amount of each resource.
func (r resources) smallest(o resources) resources {
	return resources{
		cpu: min(r.cpu, o.cpu), memory: min(r.memory, o.memory), accelerators: min(r.accelerators, o.accelerators),
	}
}

// times returns n of the amounts.
func (r resources) times(n int) resources {
	return resources{cpu: r.cpu * int64(n), memory: r.memory * int64(n), accelerators: r.accelerators * int64(n)}
}

func (r *resources) subtract(o resources) {
	r.cpu -= o.cpu
	r.memory -= o.memory
	r.accelerators -= o.accelerators
}

// fitCount returns how many amounts of o fit into r. The result is capped at
// 1 << 20 (unlimited), which is also the result for an empty o. Nothing fits while any
// resource is overcommitted, as after a worker's capacity has shrunk.
func (r resources) fitCount(o resources) int {
	const unlimited = 1 << 20
	if r.overcommitted() {
		return 0
	}
	n := int64(unlimited)
	for _, pair := range [][2]int64{{r.cpu, o.cpu}, {r.memory, o.memory}, {r.accelerators, o.accelerators}} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return int(n)
}

// overcommitted reports whether more of any resource is in use than there is, if r is what
// is free.
func (r resources) overcommitted() bool { return r.cpu < 0 || r.memory < 0 || r.accelerators < 0 }

// fits reports whether fitCount is not 0.
func (r resources) fits(o resources) bool {
	return !r.overcommitted() && r.cpu >= o.cpu && r.memory >= o.memory && r.accelerators >= o.accelerators
}
