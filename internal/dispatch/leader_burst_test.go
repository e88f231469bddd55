package dispatch

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// burstResult counts the urgent jobs of a day with a burst that were done in time.
type burstResult struct {
	all           int
	before, after float64 // shares of those that arrived before the burst, and from some seconds after it on
}

// playBurst plays ordinary traffic, in which jobs that can wait come so many times as often for some seconds.
func playBurst(t *testing.T, factor int) (result burstResult) {
	const (
		workers, urgentPerSecond, bulkPerSecond = 350, 40, 20

		burstBegin, burstEnd, recovery, end = 3 * time.Second, 10 * time.Second, 3 * time.Second, 20 * time.Second
	)
	bubble.Test(t, func(t *testing.T) {
		l := newBudgetedLeader(workers)
		urgent := &apiv1.JobStep{Count: 3, CpuMillis: 1000, EstimateMs: 800}
		bulk := &apiv1.JobStep{Count: 4, CpuMillis: 4000, EstimateMs: 2000}
		l.submit(0, end, urgentPerSecond, urgentQueue(), urgent)
		l.submit(0, end, bulkPerSecond, bulkQueue(), bulk)
		if factor > 1 {
			l.submit(burstBegin, burstEnd, (factor-1)*bulkPerSecond, bulkQueue(), bulk)
		}
		l.runUntil(end + 2*time.Second)
		result = burstResult{all: l.countInTime(0, end), before: l.shareInTime(0, burstBegin), after: l.shareInTime(burstEnd+recovery, end)}
		t.Logf("%d urgent jobs in time, share before %.3f, after %.3f; %d starts, %d jobs refused, %d units tried, %d parked",
			result.all, result.before, result.after, l.d.counters.startsSent.Count(), l.refused, l.d.counters.unitsTried.Count(), len(l.waitList.parked))
	})
	return result
}

// The more jobs were asked for that can wait, the fewer urgent ones were served, and after a burst they stayed late for as long
// as its backlog lasted.
func TestUrgentJobsAreInTimeDuringAndAfterABurst(t *testing.T) {
	calm := playBurst(t, 1)
	for _, factor := range []int{10, 40, 90} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			burst := playBurst(t, factor)
			if burst.all < calm.all {
				t.Errorf("%d urgent jobs were done in time, %d without a burst", burst.all, calm.all)
			}
			if burst.after < burst.before {
				t.Errorf("%.3f of the urgent jobs were done in time after the burst, %.3f before", burst.after, burst.before)
			}
		})
	}
}
