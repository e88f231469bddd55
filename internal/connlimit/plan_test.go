package connlimit

import (
	"testing"

	"github.com/matryer/is"
)

// With fewer idle connections than polled workers, nearly every second start opened a connection, as the
// one that was idle longest had been closed.
func TestEachPolledWorkerKeepsAConnectionForOrders(t *testing.T) {
	for _, descriptors := range []int{0, minDescriptors, 900, 4096, 4124, 1 << 16} {
		is := is.New(t)
		p := ControlPlan(descriptors)
		is.True(p.IdleWorkers >= p.Holds)
		is.True(3*p.Reports >= p.Holds) // three control processes take the reports of all workers
		total := p.Holds + p.Orders + p.IdleWorkers + p.Advisors + p.Reports + p.Internal
		is.True(total <= max(descriptors, minDescriptors)-reservedDescriptors)
	}
}
