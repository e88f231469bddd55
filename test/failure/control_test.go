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

// pastEveryTimeout is longer than the leases and election time-outs together.
const pastEveryTimeout = 6 * time.Second

// awaitPublications waits until the operators have had that many more publications
// acknowledged.
func awaitPublications(c *cluster, o *operators, more int64) {
	c.t.Helper()
	from := o.appliedCount.Load()
	c.await("publications to go on", func() bool { return o.appliedCount.Load() >= from+more })
}

// stopAndCheck stops the operators, checks their history and that the last
// acknowledged publication was not lost.
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
	c.leader().kill() // answers get lost
	awaitPublications(c, o, 100)
	stopAndCheck(c, o)
}

func TestVoterRestartedFarBehind(t *testing.T) {
	const changes = 500
	// The log before a snapshot is dropped long before the voter comes back.
	c := newCluster(t, layout{voters: 3, snapshotEntries: 100})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 10)
	behind := c.follower()
	behind.kill()
	awaitPublications(c, o, changes)
	behind.start()
	// The other follower goes: every further publication needs the restarted one.
	leader := c.leader()
	for _, m := range c.members {
		if m != leader && m != behind {
			m.kill()
		}
	}
	awaitPublications(c, o, 20)
	stopAndCheck(c, o)
}

func TestResumedLeaderAnswersNoStaleRead(t *testing.T) {
	const readers = 20
	c := newCluster(t, layout{voters: 3})
	c.publish(configurationOf("first"))
	for round := range 5 {
		old := c.leader()
		old.freeze()
		content := fmt.Sprintf("second-%d", round)
		c.publish(configurationOf(content))
		// Calls that begin after the publication wait at the frozen leader.
		var reading sync.WaitGroup
		for range readers {
			reading.Go(func() {
				client := rpc.NewClient(rpc.Options{Addresses: []string{old.address}, AttemptTimeout: conditionTimeout})
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), pastEveryTimeout)
				defer cancel()
				response, err := client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
				if err == nil && contentOf(response.GetConfiguration()) != content {
					t.Errorf("the thawed leader answered with %q after %q was acknowledged", contentOf(response.GetConfiguration()), content)
				}
			})
		}
		c.await("the calls to be on their way", func() bool { return connectionsTo(t, old.address) >= readers })
		old.resume()
		reading.Wait()
	}
}

// connectionsTo counts the established connections to a loopback port.
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
