package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load pattern: many small jobs arrive at the same moment in a pool with free capacity, as
// after an outage. The policy service allows most workers and takes some time to answer.
// If all jobs ask about the same workers, most find them taken when the answers arrive,
// and have to ask again.
func TestBurstOfSmallJobsAsksOnce(t *testing.T) {
	is := is.New(t)
	const (
		workers, jobCount, tasks = 120, 100, 2
		maxCallsPerJob           = 1.2
	)
	var fakes []*fakeWorker
	for i := range workers {
		fakes = append(fakes, newFakeWorker(fmt.Sprintf("w%03d", i), 4000))
	}
	c := newTestCluster(t, fakes...)
	c.allowedPercent, c.adviceDelay = 70, 60*time.Millisecond
	c.startLeader()
	c.eventually("the workers have reported", func() bool {
		for _, w := range fakes {
			if w.holdCount() == 0 {
				return false
			}
		}
		return true
	})
	for i := range jobCount {
		c.submitTo(restrictedQueue(), fmt.Sprintf("job-%d", i), stepOf(tasks, 1000))
	}
	c.eventually("all tasks run", func() bool { return countRunning(fakes) == jobCount*tasks })
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(float64(len(c.adviceCalls)) <= maxCallsPerJob*jobCount)
}
