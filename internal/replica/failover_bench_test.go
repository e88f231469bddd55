package replica_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFailover measures the time from isolating the leader, without notice
// to the others, to the first commit at another member.
func BenchmarkFailover(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			c := newFormedCluster(b, voters, nil)
			c.write("warm up")
			var total, longest time.Duration
			for i := range b.N {
				leader := c.leader()
				leader.gate.shut()
				begin := time.Now()
				c.write(fmt.Sprint("after ", i), leader)
				took := time.Since(begin)
				total += took
				longest = max(longest, took)
				leader.gate.open()
				eventually(b, "the former leader's return", func() bool {
					return !leader.replica.Status().IsLeader && leader.replica.Status().Leader != 0
				})
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "mean-ms")
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
