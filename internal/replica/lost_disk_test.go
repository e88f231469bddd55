package replica_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// loseDisk starts the member again at its address with an empty disk.
func (n *node) loseDisk() {
	n.halt()
	n.config.DataDir = filepath.Join(n.t.TempDir(), "data")
	n.start()
}

// The fast responses of processes whose disks were lost counted as those of the voters before them, so that the voters that
// were left, whose calls took longer, did not wait for each other's votes.
func TestLeaderIsElectedWhenOnlyLostDisksRespondFast(t *testing.T) {
	for _, delay := range []time.Duration{200, 400, 800} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			var slow atomic.Bool
			fast := make(map[string]bool) // addresses; written before slow is set
			c := newFormedCluster(t, 5, func(config *replica.Config) {
				config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
				config.CallTimeout = 160 * time.Millisecond
				wrap := config.WrapTransport
				config.WrapTransport = func(next http.RoundTripper) http.RoundTripper {
					return wrap(&slowAddresses{func(address string) time.Duration {
						if slow.Load() && !fast[address] {
							return delay
						}
						return 0
					}, next})
				}
			})
			c.write("before")
			leader := c.leader()
			lost := []*node{leader, c.otherNodes(leader)[0]}
			for _, n := range lost {
				fast[n.config.Address] = true
			}
			slow.Store(true)
			for _, n := range lost {
				n.loseDisk()
			}
			c.commitWithin(recoveryBound, "after", lost...)
		})
	}
}

// slowAddresses holds each call for a time that depends on its address.
type slowAddresses struct {
	delay func(address string) time.Duration
	next  http.RoundTripper
}

func (n *slowAddresses) RoundTrip(request *http.Request) (*http.Response, error) {
	held := &slowNetwork{func() time.Duration { return n.delay(request.URL.Host) }, n.next}
	return held.RoundTrip(request)
}

// A member without a leader could not tell that a voter's disk was lost: the process at its address responded.
func TestLogTellsThatAVoterLostItsDisk(t *testing.T) {
	log := &logBuffer{}
	c := newFormedCluster(t, 3, func(config *replica.Config) {
		config.Logger = slog.New(slog.NewJSONHandler(log, nil))
	})
	c.write("before")
	for _, n := range c.nodes[1:] {
		n.loseDisk()
	}
	eventually(t, "the lost disks in the log", func() bool {
		found := 0
		for _, n := range c.nodes[1:] {
			for line := range strings.Lines(log.String()) {
				shown := line[:min(len(line), 200)]
				if strings.Contains(shown, "no leader") && strings.Contains(shown, n.config.Name) && strings.Contains(shown, "disk lost") {
					found++
					break
				}
			}
		}
		return found == 2
	})
}

// Messages to an incarnation that is gone got the response of the one that had taken its place.
func TestMessagesToAnotherIncarnationAreRefused(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 3, nil)
	c.write("before")
	n := c.nodes[0]
	peer := apiv1.NewPeerProtobufClient("http://"+n.config.Address, http.DefaultClient)
	send := func(to uint64) error {
		_, err := peer.Step(context.Background(), &apiv1.StepRequest{
			ClusterId: "cluster-a", Messages: []*apiv1.RaftMessage{{Type: apiv1.RaftMessage_TYPE_PRE_VOTE, To: to, From: 1}},
		})
		return err
	}
	is.NoErr(send(n.info().GetIncarnation()))
	var refusal twirp.Error
	is.True(errors.As(send(n.info().GetIncarnation()+1), &refusal))
	is.Equal(refusal.Code(), twirp.FailedPrecondition)
	is.True(strings.Contains(refusal.Msg(), fmt.Sprintf("%x", n.info().GetIncarnation()))) // names the incarnation that responds
}
