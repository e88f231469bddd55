package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkersBeyondTheCallLimitsAreServed keeps a run on each of more workers than calls
// may be in flight at once, for several leases.
func TestWorkersBeyondTheCallLimitsAreServed(t *testing.T) {
	const workers = 24
	var fakes []*fakeWorker
	for i := range workers {
		fakes = append(fakes, newFakeWorker(fmt.Sprintf("w%02d", i), 1000))
	}
	c := newTestCluster(t, fakes...)
	c.callLimits = CallLimits{Holds: 5, Orders: 2}
	c.startLeader()
	c.submit("job", stepOf(workers, 1000))
	c.eventually("every worker has a run", func() bool { return countRuns(fakes) == workers })
	time.Sleep(3 * c.timing.leaseDuration())
	is := is.New(t)
	is.Equal(countRuns(fakes), workers)
	for _, w := range fakes {
		is.Equal(w.startCount(), 1) // no lease expired while its renewal waited for a slot
	}
}

func countRuns(workers []*fakeWorker) int {
	count := 0
	for _, w := range workers {
		count += len(w.running())
	}
	return count
}
