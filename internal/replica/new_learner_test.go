package replica_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
)

// The first message to a new learner was dropped, as its address was not known yet: a snapshot was only sent again after its
// timeout of 30 s.
func TestFirstMessageReachesANewLearner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, func(config *replica.Config) {
		config.HeartbeatInterval, config.ElectionTimeout = time.Second, 3*time.Second
		config.WrapTransport = func(next http.RoundTripper) http.RoundTripper { return next }
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
	leader := c.leader()
	dropped := leader.counter("replica.messages.dropped")
	is.NoErr(leader.replica.AddLearner(ctx, c.nodes[3].info()))
	eventually(t, "the learner has the log", func() bool {
		return c.nodes[3].replica.Status().AppliedIndex >= leader.replica.Status().CommitIndex
	})
	is.Equal(leader.counter("replica.messages.dropped"), dropped)
}
