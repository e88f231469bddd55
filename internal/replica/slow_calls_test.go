package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// recoveryBound is the time after a fault within which the log must be writable again, by the users' bounds.
const recoveryBound = 12 * time.Second

// slowNetwork holds each call for a time before it reaches the other member. The connection of a call that its caller
// has given up is closed before anything arrives.
type slowNetwork struct {
	delay func() time.Duration
	next  http.RoundTripper
}

func (n *slowNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	timer := time.NewTimer(n.delay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return n.next.RoundTrip(request)
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// checkElectionWithSlowCalls checks that a log of five members is writable again in time after two are lost, the leader
// among them, while each call is held for a time of its own.
func checkElectionWithSlowCalls(t *testing.T, delay func() time.Duration) {
	t.Helper()
	var slow atomic.Bool
	c := newFormedCluster(t, 5, func(config *replica.Config) {
		config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
		config.CallTimeout = 160 * time.Millisecond
		wrap := config.WrapTransport
		config.WrapTransport = func(next http.RoundTripper) http.RoundTripper {
			return wrap(&slowNetwork{func() time.Duration {
				if slow.Load() {
					return delay()
				}
				return 0
			}, next})
		}
	})
	c.write("before")
	leader := c.leader()
	lost := []*node{leader, c.otherNodes(leader)[0]}
	slow.Store(true)
	for _, n := range lost {
		n.gate.shut()
	}
	c.commitWithin(recoveryBound, "after", lost...)
}

// With calls that took longer than their timeout, each was given up and made anew, and none ever arrived: no leader was
// elected for as long as calls were slow.
func TestLeaderIsElectedWhenCallsAreSlow(t *testing.T) {
	for _, delay := range []time.Duration{100, 150, 200, 400, 800} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			checkElectionWithSlowCalls(t, func() time.Duration { return delay })
		})
	}
}

// Candidates that measured different times interrupted each other's elections.
func TestLeaderIsElectedWhenCallsAreUnevenlySlow(t *testing.T) {
	below := func(limit time.Duration) func() time.Duration {
		return func() time.Duration { return rand.N(limit) }
	}
	for _, test := range []struct {
		name  string
		delay func() time.Duration
	}{
		{"up to 400ms", below(400 * time.Millisecond)},
		{"up to 800ms", below(800 * time.Millisecond)},
		{"one of three 1200ms", func() time.Duration {
			if rand.IntN(3) == 0 {
				return 1200 * time.Millisecond
			}
			return 20 * time.Millisecond
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkElectionWithSlowCalls(t, test.delay)
		})
	}
}

// A snapshot that went into a dead connection held up the one that was sent after it, and with it the replacement of a lost
// voter.
func TestLostSnapshotDelaysNoPromotion(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	c := newCluster(t, 4, func(config *replica.Config) {
		config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
		config.CallTimeout = 160 * time.Millisecond
		wrap := config.WrapTransport
		config.WrapTransport = func(next http.RoundTripper) http.RoundTripper {
			return wrap(&lostSnapshots{&silent, next})
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var voters []*apiv1.MemberInfo
	for _, n := range c.nodes[:3] {
		voters = append(voters, n.info())
	}
	for _, n := range c.nodes[:3] {
		is.NoErr(n.replica.Form(ctx, "cluster-a", voters))
	}
	c.write("before")
	leader, learner := c.leader(), c.nodes[3].info()
	silent.Store(true)
	begin := time.Now()
	is.NoErr(leader.replica.AddLearner(ctx, learner))
	eventually(t, "the learner's promotion", func() bool { return leader.replica.PromoteLearner(ctx, learner.GetIncarnation()) == nil })
	is.True(!silent.Load())                    // a snapshot was lost
	is.True(time.Since(begin) < 2*time.Second) // a third of the users' bound for the whole replacement
}

// lostSnapshots holds the first snapshot until its caller gives it up, while lose is set, and clears lose.
type lostSnapshots struct {
	lose *atomic.Bool
	next http.RoundTripper
}

func (n *lostSnapshots) RoundTrip(request *http.Request) (*http.Response, error) {
	if !n.lose.Load() {
		return n.next.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	step := &apiv1.StepRequest{}
	isSnapshot := func(m *apiv1.RaftMessage) bool { return m.GetType() == apiv1.RaftMessage_TYPE_SNAPSHOT }
	if err := proto.Unmarshal(body, step); err == nil && slices.ContainsFunc(step.GetMessages(), isSnapshot) && n.lose.CompareAndSwap(true, false) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return n.next.RoundTrip(request)
}
