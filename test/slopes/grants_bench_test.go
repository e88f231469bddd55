package slopes_test

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/balance/shares"
	"github.com/pistachioport/pistachioport/internal/clock"
)

const (
	statedEntries   = 12
	statedEndpoints = 800 // one for every five running tasks
)

// BenchmarkGrants prints the processor time of one division of the endpoints' slots
// among the entries. A renewal of an entry takes two of them.
func BenchmarkGrants(b *testing.B) {
	measure("division of slots, 12 entries", "µs", "endpoint", []int{200, 400, 800}, func(size int) float64 {
		return divisionTime(b, statedEntries, size)
	})
	measure("division of slots, 800 endpoints", "µs", "entry", []int{3, 6, 12}, func(size int) float64 {
		return divisionTime(b, size, statedEndpoints)
	})
}

// divisionTime returns the processor time of one division, in microseconds.
func divisionTime(b *testing.B, entries, announced int) float64 {
	now := clock.NewManual(time.UnixMilli(startUnixMs))
	allocator := shares.NewAllocator(shares.Options{Clock: now})
	now.Advance(time.Minute) // until the grants of earlier leaders have expired
	known := endpoints(0, announced)
	demand := make([]*apiv1.ServiceDemand, 0, 40)
	for i := range 40 {
		demand = append(demand, &apiv1.ServiceDemand{Service: fmt.Sprintf("service-%02d", i), InFlight: 2})
	}
	held := make([][]*apiv1.SlotHold, entries)
	renew := func(i int) {
		held[i] = allocator.Renew(fmt.Sprintf("entry-%02d", i), held[i], demand, known)
	}
	for i := range entries {
		allocator.SetLocation(fmt.Sprintf("entry-%02d", i), location(i))
		renew(i)
	}
	if len(held[0]) == 0 {
		b.Fatal("the first entry was granted no slots")
	}
	next := 0
	return medianMicroseconds(b, 20, func(watch *stopwatch) {
		watch.start()
		renew(next % entries)
		watch.stop()
		next++
	})
}
