package repair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// A voter that answers late is not lost: it must keep its place, although a spare could take it.
func TestSlowVoterIsNotReplaced(t *testing.T) {
	for _, delay := range []time.Duration{400, 600, 800, 1000} {
		delay *= time.Millisecond
		for _, number := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d/%v", number, delay), func(t *testing.T) {
				t.Parallel()
				c := newCore(t, 1)
				var slow []uint64
				for _, m := range c.followers()[:number] {
					slow = append(slow, m.incarnation())
					m.held.Store(int64(delay))
					m.heldFrom.Store(int64(delay))
				}
				begin, longest := time.Now(), time.Duration(0)
				for time.Since(begin) < 2*catchUpBound {
					status := c.leader().log.Status()
					for _, id := range slow {
						longest = max(longest, status.Progress[id].SinceContact)
						isVoter := func(v *apiv1.MemberInfo) bool { return v.GetIncarnation() == id }
						if !slices.ContainsFunc(status.Membership.GetVoters(), isVoter) {
							steps, _ := c.history(begin)
							t.Fatalf("a slow voter was removed after %v, silent for %v at the longest: %s", time.Since(begin), longest, steps)
						}
					}
					time.Sleep(time.Millisecond)
				}
				steps, _ := c.history(begin)
				t.Logf("%d, %v: silent for %v at the longest, %s", number, delay, longest, steps)
			})
		}
	}
}
