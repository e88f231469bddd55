package replica_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
)

func TestNoAcknowledgedCommandIsLostWithTheLeader(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			is := is.New(t)
			c := newFormedCluster(t, size, nil)
			var acknowledged []string
			write := func(object string) {
				c.write(object)
				acknowledged = append(acknowledged, object)
			}
			for round := range size/2 + 1 {
				for i := range 10 {
					write(fmt.Sprintf("%d.%d", round, i))
				}
				if round == size/2 {
					break
				}
				c.leader().gate.shut() // calls hang as those of a frozen or isolated VM
				c.write(fmt.Sprintf("%d.after", round), c.isolated()...)
			}
			for _, n := range c.nodes {
				n.gate.open()
			}
			c.write("end")
			objects := c.awaitAgreement(c.nodes...)
			for _, object := range acknowledged {
				is.True(slices.Contains(objects, object)) // an acknowledged command was lost
			}
		})
	}
}

func TestResumedLeaderDoesNotConfirmABarrier(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 3, nil)
	c.write("before")
	frozen := c.leader()
	frozen.gate.shut()
	barrier := make(chan error, 1)
	go func() { barrier <- frozen.replica.Barrier(context.Background()) }()
	c.write("elsewhere", frozen)
	frozen.gate.open()
	is.True(errors.Is(<-barrier, replica.ErrNotLeader))
	c.awaitAgreement(c.nodes...)
}

func TestFollowerPastCompactionCatchesUpBySnapshot(t *testing.T) {
	c := newFormedCluster(t, 3, func(config *replica.Config) {
		config.SnapshotEntries = 50
		config.TrailingEntries = 10
		config.SegmentBytes = 4 << 10
	})
	written := []string{"first"}
	c.write("first")
	behind := c.otherNodes(c.leader())[0]
	behind.halt()
	for i := range 600 {
		c.write(fmt.Sprint(i))
		written = append(written, fmt.Sprint(i))
	}
	behind.start()
	c.checkWritten(c.awaitAgreement(c.nodes...), written)
	eventually(t, "the snapshot's installation", func() bool {
		return behind.counter("replica.snapshots.installed") > 0
	})
	c.write("last")
	for _, n := range c.nodes {
		n.halt()
	}
	for _, n := range c.nodes {
		n.start()
	}
	c.write("after the restart")
	c.checkWritten(c.awaitAgreement(c.nodes...), append(written, "last", "after the restart"))
	t.Logf("%d proposals were indeterminate", c.indeterminate.Load())
}

func TestLostDiskIsReplacedAsANewIncarnation(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 3, nil)
	c.write("before")
	lost := c.otherNodes(c.leader())[0]
	lostIncarnation := lost.replica.Status().Incarnation
	lost.halt()
	lost.config.DataDir = t.TempDir()
	lost.start()
	replacement := lost.info()
	is.True(replacement.GetIncarnation() != lostIncarnation)
	c.write("while one is lost")
	is.Equal(lost.replica.Status().ClusterID, "") // no membership lists the new incarnation yet

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leader := c.leader().replica
	is.NoErr(retry(ctx, func() error { return leader.AddLearner(ctx, replacement) }))
	is.NoErr(retry(ctx, func() error { return leader.PromoteLearner(ctx, replacement.GetIncarnation()) }))
	is.NoErr(retry(ctx, func() error { return leader.RemoveMember(ctx, lostIncarnation) }))
	is.NoErr(leader.RemoveMember(ctx, lostIncarnation)) // a repeated call has no effect

	c.leader().halt() // a second failure right after the repair
	c.write("after the second loss")
	for _, n := range c.nodes {
		if n.stop == nil {
			n.start()
		}
	}
	c.write("end")
	is.True(slices.Contains(c.awaitAgreement(c.nodes...), "before"))
}

func TestShutdownTransfersLeadership(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 3, nil)
	c.write("before")
	leader := c.leader()
	term := leader.replica.Status().Term
	leader.halt()
	next := c.leader()
	is.Equal(next.replica.Status().Term, term+1)
	is.True(next.counter("replica.handovers.received") > 0) // elected by the leadership transfer, not after an election timeout
	c.write("after")
}

// retry repeats a membership change while it is refused for a reason that passes:
// another change is in progress or the learner has not caught up.
func retry(ctx context.Context, change func() error) error {
	for {
		err := change()
		if !errors.IsAny(err, replica.ErrChangeInProgress, replica.ErrNotCaughtUp) || ctx.Err() != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}
