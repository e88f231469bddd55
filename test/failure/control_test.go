package failure_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// pastEveryTimeout is longer than the lease durations and election timeouts
// together.
const pastEveryTimeout = 6 * time.Second

// awaitPublications waits until that many more of the operators' publications are
// acknowledged.
func awaitPublications(c *cluster, o *operators, more int64) {
	c.t.Helper()
	from := o.appliedCount.Load()
	c.await("further publications to be acknowledged", func() bool { return o.appliedCount.Load() >= from+more })
}

// stopAndCheck stops the operators and checks that their history is linearizable and
// that no acknowledged publication was lost.
func stopAndCheck(c *cluster, o *operators) {
	c.t.Helper()
	history := o.finish()
	history.check(c.t)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	response, err := c.client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is := is.New(c.t)
	is.NoErr(err)
	is.True(response.GetRevision() >= o.highestRevision.Load()) // an acknowledged revision was lost
}

func TestLeaderAndFollowersKilledUnderWrites(t *testing.T) {
	c := newCluster(t, layout{voters: 5})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 20)
	for range 3 {
		leader := c.leader()
		leader.kill()
		awaitPublications(c, o, 20)
		leader.start()
		follower := c.follower()
		follower.kill()
		awaitPublications(c, o, 20)
		follower.start()
	}
	stopAndCheck(c, o)
}

func TestLeaderFrozenPastEveryTimeoutThenResumed(t *testing.T) {
	c := newCluster(t, layout{voters: 3})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 20)
	for range 2 {
		leader := c.leader()
		leader.freeze()
		frozen := time.Now()
		awaitPublications(c, o, 50)
		c.await("the freeze to outlast every timeout", func() bool { return time.Since(frozen) > pastEveryTimeout })
		leader.resume()
		awaitPublications(c, o, 50)
	}
	stopAndCheck(c, o)
}

func TestEightOperatorsRaceWithEqualVersionsAndResend(t *testing.T) {
	c := newCluster(t, layout{voters: 3})
	o := startOperators(t, c, 8)
	awaitPublications(c, o, 100)
	c.leader().kill() // responses get lost
	awaitPublications(c, o, 100)
	stopAndCheck(c, o)
}

func TestVoterRestartedFarBehind(t *testing.T) {
	const changes = 500
	// The log entries that the voter lacks are compacted long before it restarts, so
	// that it needs a snapshot.
	c := newCluster(t, layout{voters: 3, snapshotEntries: 100})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 10)
	behind := c.follower()
	behind.kill()
	awaitPublications(c, o, changes)
	behind.start()
	// Kill the other follower: every further publication needs the restarted one for
	// its quorum.
	leader := c.leader()
	for _, m := range c.members {
		if m != leader && m != behind {
			m.kill()
		}
	}
	awaitPublications(c, o, 20)
	stopAndCheck(c, o)
}

// A leader that was frozen while another was elected must not answer reads from its outdated
// state. The reads already wait in its sockets when it resumes, so that it may process them
// before it learns of the new term.
func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	const readers = 20
	c := newCluster(t, layout{voters: 3})
	c.publish(configurationOf("first"))
	for round := range 5 {
		oldLeader := c.leader()
		oldLeader.freeze()
		content := fmt.Sprintf("second-%d", round)
		c.publish(configurationOf(content))
		// These calls begin after the publication and wait at the frozen leader.
		var reading sync.WaitGroup
		for range readers {
			reading.Go(func() {
				client := rpc.NewClient(rpc.Options{Addresses: []string{oldLeader.address}, AttemptTimeout: conditionTimeout})
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), pastEveryTimeout)
				defer cancel()
				response, err := client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
				if err == nil && contentOf(response.GetConfiguration()) != content {
					t.Errorf("the resumed leader answered with %q after %q was acknowledged", contentOf(response.GetConfiguration()), content)
				}
			})
		}
		c.await("the calls to be connected", func() bool { return connectionsTo(t, oldLeader.address) >= readers })
		oldLeader.resume()
		reading.Wait()
	}
}

// connectionsTo returns the number of established connections to a loopback
// address, from /proc/net/tcp.
func connectionsTo(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	// Columns: number, local address, remote address, state; 01: established.
	remote := fmt.Sprintf("0100007F:%04X 01 ", number)
	return strings.Count(string(table), remote)
}
