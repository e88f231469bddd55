package failure_test

import (
	"testing"
	"time"
)

// partitionMember partitions the voter that pick returns from the others for longer
// than every lease, while operators publish, and then restores it.
func partitionMember(t *testing.T, injectFault func(*links, string), pick func(*cluster) *member) {
	t.Helper()
	relays := newLinks(t)
	c := newCluster(t, layout{voters: 3, dialAddress: relays.startRelay})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 20)
	partitioned := pick(c)
	injectFault(relays, partitioned.name)
	began := time.Now()
	awaitPublications(c, o, 20)
	c.await("the partition to outlast every lease", func() bool { return time.Since(began) > pastEveryTimeout })
	awaitPublications(c, o, 20)
	relays.restore(partitioned.name)
	awaitPublications(c, o, 50)
	stopAndCheck(c, o)
}

// TestVoterPartitionedSilently guards against lost or unordered publications when the
// packets of one voter are dropped without closing its connections, in one direction
// or in both.
func TestVoterPartitionedSilently(t *testing.T) {
	pickLeader := func(c *cluster) *member { return c.leader() }
	pickFollower := func(c *cluster) *member { return c.follower() }
	t.Run("leader, both ways", func(t *testing.T) { partitionMember(t, (*links).blackholeBothWays, pickLeader) })
	t.Run("leader, outgoing only", func(t *testing.T) { partitionMember(t, (*links).blackholeOutgoing, pickLeader) })
	t.Run("follower, both ways", func(t *testing.T) { partitionMember(t, (*links).blackholeBothWays, pickFollower) })
	t.Run("follower, outgoing only", func(t *testing.T) { partitionMember(t, (*links).blackholeOutgoing, pickFollower) })
}
