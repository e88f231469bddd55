// Package resources implements arithmetic on amounts of processors, memory and
// accelerators.
package resources

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Amount is the capacity of a worker or what a task requests.
type Amount struct {
	CPU          int64 // thousandths of a processor
	Memory       int64 // bytes
	Accelerators int64 // whole devices
}

// FromMessage converts a message to an Amount; nil is converted to zero.
func FromMessage(message *apiv1.Resources) Amount {
	return Amount{
		CPU:          message.GetCpuMillis(),
		Memory:       message.GetMemoryBytes(),
		Accelerators: message.GetAccelerators(),
	}
}

// Message returns the amount as a message.
func (a Amount) Message() *apiv1.Resources {
	return &apiv1.Resources{CpuMillis: a.CPU, MemoryBytes: a.Memory, Accelerators: a.Accelerators}
}

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Times returns the amount multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{a.CPU * n, a.Memory * n, a.Accelerators * n}
}

// Max returns the larger value of each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// FitsIn reports whether a is at most b in every resource.
func (a Amount) FitsIn(b Amount) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Negative reports whether any resource is below zero.
func (a Amount) Negative() bool {
	return a.CPU < 0 || a.Memory < 0 || a.Accelerators < 0
}

// DominantShare returns the largest share that a takes of any resource of whole. If
// a uses a resource that whole lacks, the share is 1.
func (a Amount) DominantShare(whole Amount) float64 {
	return max(share(a.CPU, whole.CPU), share(a.Memory, whole.Memory), share(a.Accelerators, whole.Accelerators))
}

func share(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// FitCount returns how many times part fits in a, at most limit.
func (a Amount) FitCount(part Amount, limit int) int {
	n := int64(limit)
	n = min(n, fitCount(a.CPU, part.CPU, n))
	n = min(n, fitCount(a.Memory, part.Memory, n))
	n = min(n, fitCount(a.Accelerators, part.Accelerators, n))
	return int(max(0, n))
}

func fitCount(whole, part, limit int64) int64 {
	if part <= 0 {
		return limit
	}
	return whole / part
}
