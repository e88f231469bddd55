package spec

import (
	"fmt"
	"math"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// fits reports whether the need is within the capacity in every respect.
func fits(need, capacity *apiv1.Resources) bool {
	return need.GetCpuMillis() <= capacity.GetCpuMillis() &&
		need.GetMemoryBytes() <= capacity.GetMemoryBytes() &&
		need.GetAccelerators() <= capacity.GetAccelerators()
}

// scale and add stop at the largest int64 instead of overflowing.
func scale(r *apiv1.Resources, n int64) *apiv1.Resources {
	return &apiv1.Resources{
		CpuMillis:    multiply(r.GetCpuMillis(), n),
		MemoryBytes:  multiply(r.GetMemoryBytes(), n),
		Accelerators: multiply(r.GetAccelerators(), n),
	}
}

func add(a, b *apiv1.Resources) *apiv1.Resources {
	return &apiv1.Resources{
		CpuMillis:    sum(a.GetCpuMillis(), b.GetCpuMillis()),
		MemoryBytes:  sum(a.GetMemoryBytes(), b.GetMemoryBytes()),
		Accelerators: sum(a.GetAccelerators(), b.GetAccelerators()),
	}
}

func multiply(a, b int64) int64 {
	if a > 0 && b > math.MaxInt64/a {
		return math.MaxInt64
	}
	return a * b
}

func sum(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// describe returns the amounts in operators' units.
func describe(r *apiv1.Resources) string {
	processors := fmt.Sprintf("%.3f", float64(r.GetCpuMillis())/milli)
	processors = strings.TrimRight(strings.TrimRight(processors, "0"), ".")
	text := fmt.Sprintf("%s processors and %s", processors, tomlfile.FormatSize(r.GetMemoryBytes()))
	if r.GetAccelerators() > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.GetAccelerators())
	}
	return text
}
