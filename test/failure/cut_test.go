package failure_test

import (
	"testing"
	"time"
)

// cutMember cuts one voter off for longer than every lease, while operators
// publish, and lets it come back.
func cutMember(t *testing.T, cut func(*links, string), pick func(*cluster) *member) {
	t.Helper()
	between := newLinks(t)
	c := newCluster(t, layout{voters: 3, dial: between.between})
	o := startOperators(t, c, 4)
	progress(c, o, 20)
	cutOff := pick(c)
	cut(between, cutOff.name)
	began := time.Now()
	progress(c, o, 20)
	c.await("the cut to outlast every lease", func() bool { return time.Since(began) > pastEveryTimeout })
	progress(c, o, 20)
	between.restore(cutOff.name)
	progress(c, o, 50)
	finish(c, o)
}

func TestVoterCutOffSilently(t *testing.T) {
	pickLeader := func(c *cluster) *member { return c.leader() }
	pickFollower := func(c *cluster) *member { return c.follower() }
	t.Run("leader, both ways", func(t *testing.T) { cutMember(t, (*links).silenceBothWays, pickLeader) })
	t.Run("leader, outgoing only", func(t *testing.T) { cutMember(t, (*links).silenceOutgoing, pickLeader) })
	t.Run("follower, both ways", func(t *testing.T) { cutMember(t, (*links).silenceBothWays, pickFollower) })
	t.Run("follower, outgoing only", func(t *testing.T) { cutMember(t, (*links).silenceOutgoing, pickFollower) })
}
