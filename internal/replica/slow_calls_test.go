package replica_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/replica"
)

// recoveryBound is the time after a fault within which the log must be writable again, by the users' bounds.
const recoveryBound = 12 * time.Second

// slowNetwork holds each call for a time before it reaches the other member. The connection of a call that its caller
// has given up is closed before anything arrives.
type slowNetwork struct {
	delay *atomic.Int64 // nanoseconds
	next  http.RoundTripper
}

func (n *slowNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	timer := time.NewTimer(time.Duration(n.delay.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return n.next.RoundTrip(request)
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// With calls that took longer than their timeout, each was given up and made anew, and none ever arrived: no leader was
// elected for as long as calls were slow.
func TestLeaderIsElectedWhenCallsAreSlow(t *testing.T) {
	for _, delay := range []time.Duration{100, 150, 200, 400, 800} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			held := &atomic.Int64{}
			c := newFormedCluster(t, 5, func(config *replica.Config) {
				config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
				config.CallTimeout = 160 * time.Millisecond
				wrap := config.WrapTransport
				config.WrapTransport = func(next http.RoundTripper) http.RoundTripper {
					return wrap(&slowNetwork{held, next})
				}
			})
			c.write("before")
			leader := c.leader()
			lost := []*node{leader, c.otherNodes(leader)[0]}
			held.Store(int64(delay))
			for _, n := range lost {
				n.gate.shut()
			}
			c.commitWithin(recoveryBound, "after", lost...)
		})
	}
}
