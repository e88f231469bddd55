package failure_test

import (
	"testing"
	"time"
)

// partitionMember cuts one voter off for longer than every lease, while operators
// publish, and lets it come back.
func partitionMember(t *testing.T, cut func(*links, string), pick func(*cluster) *member) {
	t.Helper()
	between := newLinks(t)
	c := newCluster(t, layout{voters: 3, dialAddress: between.startRelay})
	o := startOperators(t, c, 4)
	awaitPublications(c, o, 20)
	cutOff := pick(c)
	cut(between, cutOff.name)
	began := time.Now()
	awaitPublications(c, o, 20)
	c.await("the cut to outlast every lease", func() bool { return time.Since(began) > pastEveryTimeout })
	awaitPublications(c, o, 20)
	between.restore(cutOff.name)
	awaitPublications(c, o, 50)
	stopAndCheck(c, o)
}

func TestVoterCutOffSilently(t *testing.T) {
	pickLeader := func(c *cluster) *member { return c.leader() }
	pickFollower := func(c *cluster) *member { return c.follower() }
	t.Run("leader, both ways", func(t *testing.T) { partitionMember(t, (*links).blackholeBothWays, pickLeader) })
	t.Run("leader, outgoing only", func(t *testing.T) { partitionMember(t, (*links).blackholeOutgoing, pickLeader) })
	t.Run("follower, both ways", func(t *testing.T) { partitionMember(t, (*links).blackholeBothWays, pickFollower) })
	t.Run("follower, outgoing only", func(t *testing.T) { partitionMember(t, (*links).blackholeOutgoing, pickFollower) })
}
