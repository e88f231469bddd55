package spec

import (
	"fmt"
	"math"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/tomlfile"
)

// fits reports whether the required resources are within the capacity in every
// dimension.
func fits(required, capacity *apiv1.Resources) bool {
	return required.GetCpuMillis() <= capacity.GetCpuMillis() &&
		required.GetMemoryBytes() <= capacity.GetMemoryBytes() &&
		required.GetAccelerators() <= capacity.GetAccelerators()
}

// multiplyResources and addResources return math.MaxInt64 for an amount that would
// overflow.
func multiplyResources(r *apiv1.Resources, n int64) *apiv1.Resources {
	return &apiv1.Resources{
		CpuMillis:    saturatingMultiply(r.GetCpuMillis(), n),
		MemoryBytes:  saturatingMultiply(r.GetMemoryBytes(), n),
		Accelerators: saturatingMultiply(r.GetAccelerators(), n),
	}
}

func addResources(a, b *apiv1.Resources) *apiv1.Resources {
	return &apiv1.Resources{
		CpuMillis:    saturatingAdd(a.GetCpuMillis(), b.GetCpuMillis()),
		MemoryBytes:  saturatingAdd(a.GetMemoryBytes(), b.GetMemoryBytes()),
		Accelerators: saturatingAdd(a.GetAccelerators(), b.GetAccelerators()),
	}
}

func saturatingMultiply(a, b int64) int64 {
	if a > 0 && b > math.MaxInt64/a {
		return math.MaxInt64
	}
	return a * b
}

func saturatingAdd(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// formatResources returns the amounts in the units of operators' files, for a finding.
func formatResources(r *apiv1.Resources) string {
	processors := fmt.Sprintf("%.3f", float64(r.GetCpuMillis())/milliPerProcessor)
	processors = strings.TrimRight(strings.TrimRight(processors, "0"), ".")
	text := fmt.Sprintf("%s processors and %s", processors, tomlfile.FormatSize(r.GetMemoryBytes()))
	if r.GetAccelerators() > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.GetAccelerators())
	}
	return text
}
