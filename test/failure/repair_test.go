package failure_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// voters returns the status of the voting members by name; it is empty if the leader
// doesn't respond.
func (c *cluster) voters() map[string]*apiv1.Member {
	found := make(map[string]*apiv1.Member)
	status, err := c.status()
	if err != nil {
		return found
	}
	for _, info := range status.GetMembers() {
		if info.GetRole() == "voter" {
			found[info.GetName()] = info
		}
	}
	return found
}

// loseDisk kills the process, deletes its data directory and restarts it.
func (m *member) loseDisk() {
	m.t.Helper()
	m.kill()
	if err := os.RemoveAll(m.dataDir); err != nil {
		m.t.Fatal(err)
	}
	m.start()
}

// repaired reports whether name is a reachable voter with another incarnation than
// before, and the number of voters is count.
func repaired(voters map[string]*apiv1.Member, name string, before uint64, count int) bool {
	info, ok := voters[name]
	return ok && len(voters) == count && info.GetIncarnation() != before && info.GetReachable()
}

// A voter that lost its disk must be replaced under a new incarnation, so that the
// cluster tolerates the loss of another one.
func TestLostDiskIsReplacedThenASecondVoterIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 5, replaceAfter: "5s"})
	o := startOperators(t, c, 3)
	awaitPublications(c, o, 20)

	first := c.follower()
	before := c.voters()[first.name].GetIncarnation()
	is.True(before != 0)
	first.loseDisk()
	c.await("the lost voter's replacement", func() bool {
		return repaired(c.voters(), first.name, before, 5)
	})
	awaitPublications(c, o, 20)

	// A second voter loses its disk right after the repair.
	second := c.leader()
	before = c.voters()[second.name].GetIncarnation()
	second.loseDisk()
	awaitPublications(c, o, 20)
	c.await("the second voter's replacement", func() bool {
		return repaired(c.voters(), second.name, before, 5)
	})
	awaitPublications(c, o, 20)
	stopAndCheck(c, o)
}

// A repair must be completed by the next leader if the leader is lost during it.
func TestSecondVoterIsLostDuringARepair(t *testing.T) {
	c := newCluster(t, layout{voters: 5, replaceAfter: "5s"})
	o := startOperators(t, c, 3)
	awaitPublications(c, o, 20)
	first := c.follower()
	before := c.voters()[first.name].GetIncarnation()
	first.loseDisk()
	c.leader().kill() // so that another leader must complete the repair
	c.await("the lost voter's replacement", func() bool {
		info := c.voters()[first.name]
		return info != nil && info.GetIncarnation() != before
	})
	awaitPublications(c, o, 20)
	stopAndCheck(c, o)
}

// Members that restart with empty data directories must not form a quorum that has
// lost acknowledged publications.
func TestEmptyDataDirectoriesNeverFormACluster(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	o := startOperators(t, c, 2)
	awaitPublications(c, o, 5)
	// Two of three voters lose their disks at once. No quorum has the log any more,
	// so that no call may succeed.
	survivor := c.leader()
	for _, m := range c.members {
		if m != survivor {
			m.kill()
		}
	}
	var lost []*member
	for _, m := range c.members {
		if m == survivor {
			continue
		}
		is.NoErr(os.RemoveAll(m.dataDir))
		lost = append(lost, m)
	}
	for _, m := range lost {
		m.start()
	}
	acknowledged := o.appliedCount.Load()
	history := o.finish()
	history.check(t)
	late := startOperators(t, c, 2)
	neverWithin(t, pastEveryTimeout, "a publication without a quorum", func() bool {
		return late.appliedCount.Load() > 0
	})
	late.finish()
	is.True(acknowledged >= 5)
}
