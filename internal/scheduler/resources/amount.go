// Package resources has the arithmetic of processors, memory and accelerators.
package resources

import apiv1 "github.com/pistachioport/pistachioport/api/v1"

// Amount is what a worker offers or a task declares.
type Amount struct {
	CPU          int64 // thousandths of a processor
	Memory       int64 // bytes
	Accelerators int64 // whole devices
}

// FromMessage returns the amount that a message carries; nil means nothing.
func FromMessage(message *apiv1.Resources) Amount {
	return Amount{
		CPU:          message.GetCpuMillis(),
		Memory:       message.GetMemoryBytes(),
		Accelerators: message.GetAccelerators(),
	}
}

// Message returns the amount in its wire form.
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

// Times returns the n-fold amount.
func (a Amount) Times(n int64) Amount {
	return Amount{a.CPU * n, a.Memory * n, a.Accelerators * n}
}

// Max returns the larger of both, for each resource alone.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPU, b.CPU), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// FitsIn reports whether no resource of a is larger than that of b.
func (a Amount) FitsIn(b Amount) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Negative reports whether any resource is below zero.
func (a Amount) Negative() bool {
	return a.CPU < 0 || a.Memory < 0 || a.Accelerators < 0
}

// DominantShare returns the largest share that a takes of any resource of whole. A
// resource that whole lacks counts only if a uses it, and then as all of it.
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

// FitCount returns how many times part fits in a, up to the given number.
func (a Amount) FitCount(part Amount, enough int) int {
	n := int64(enough)
	n = min(n, holds(a.CPU, part.CPU, n))
	n = min(n, holds(a.Memory, part.Memory, n))
	n = min(n, holds(a.Accelerators, part.Accelerators, n))
	return int(max(0, n))
}

func holds(whole, part, enough int64) int64 {
	if part <= 0 {
		return enough
	}
	return whole / part
}
