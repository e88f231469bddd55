package failure_test

import (
	"os"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// voters returns the voting members by name, and whether each answers.
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

// loseDisk kills the process, deletes its data folder and starts it again.
func (m *member) loseDisk() {
	m.t.Helper()
	m.kill()
	if err := os.RemoveAll(m.dataDir); err != nil {
		m.t.Fatal(err)
	}
	m.start()
}

// repaired reports whether name votes under another incarnation than before
// and nobody else's place is held twice.
func repaired(voters map[string]*apiv1.Member, name string, before uint64, count int) bool {
	info, ok := voters[name]
	return ok && len(voters) == count && info.GetIncarnation() != before && info.GetReachable()
}

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

	// A second voter goes right after the repair, its disk too.
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

func TestSecondVoterIsLostDuringARepair(t *testing.T) {
	c := newCluster(t, layout{voters: 5, replaceAfter: "5s"})
	o := startOperators(t, c, 3)
	awaitPublications(c, o, 20)
	first := c.follower()
	before := c.voters()[first.name].GetIncarnation()
	first.loseDisk()
	c.leader().kill() // whoever leads can't finish the repair
	c.await("the lost voter's replacement", func() bool {
		info := c.voters()[first.name]
		return info != nil && info.GetIncarnation() != before
	})
	awaitPublications(c, o, 20)
	stopAndCheck(c, o)
}

func TestEmptyFoldersNeverFormACluster(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, layout{voters: 3})
	o := startOperators(t, c, 2)
	awaitPublications(c, o, 5)
	// Two of three voters lose their disks at once: no majority is left that
	// remembers, so nothing may be answered any more.
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
	neverWithin(t, pastEveryTimeout, "a publication without a majority", func() bool {
		return late.appliedCount.Load() > 0
	})
	late.finish()
	is.True(acknowledged >= 5)
}
