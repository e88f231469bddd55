package replica_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestCommandsAreAppliedAndSurviveRestarts(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			is := is.New(t)
			c := newFormedCluster(t, size, nil)
			for i := range 20 {
				c.write(fmt.Sprint(i))
			}
			is.NoErr(c.leader().replica.Barrier(context.Background()))
			before := c.awaitAgreement(c.nodes...)
			for _, n := range c.nodes {
				n.halt()
			}
			for _, n := range c.nodes {
				n.start()
			}
			c.write("after")
			after := c.awaitAgreement(c.nodes...)
			is.Equal(after[:len(before)], before)
		})
	}
}

func TestEmptyFolderWaitsForFormation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.nodes[0].replica.Propose(ctx, auditCommand("x"))
	is.True(err != nil)
	is.True(c.nodes[0].replica.Barrier(ctx) != nil)
	is.Equal(c.nodes[0].replica.Status().Term, uint64(0))
	is.Equal(c.nodes[0].replica.Status().ClusterID, "")
}
