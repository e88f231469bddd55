package repair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A successor counts as a voter after catchUpBound, by the users' bounds, so its place in the membership must be taken
// by then, whoever was lost.
func TestLostDisksAreReplacedInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, 100, 200, 400} {
		delay *= time.Millisecond
		for _, lost := range []struct {
			what string
			pick func(c *core) []*machine
		}{
			{"a follower", func(c *core) []*machine { return c.followers()[:1] }},
			{"the leader", func(c *core) []*machine { return []*machine{c.leader()} }},
			{"two followers", func(c *core) []*machine { return c.followers()[:2] }},
			{"the leader and a follower", func(c *core) []*machine { return append(c.followers()[:1], c.leader()) }},
		} {
			t.Run(fmt.Sprintf("%v/%s", delay, lost.what), func(t *testing.T) {
				t.Parallel()
				c := newCore(t, 0)
				c.hold(delay)
				time.Sleep(2 * time.Second)
				machines := lost.pick(c)
				c.trace.reset()
				begin := time.Now()
				c.loseDisks(machines...)
				c.eventually("all machines are voters", func() bool { return c.replaced(c.machines...) })
				took := time.Since(begin)
				c.eventually("the last step is seen", c.hasSeenAllVoters)
				steps, four := c.history(begin)
				t.Logf("%v, %s: replaced after %d ms, four voters for %d ms: %s; %s", delay, lost.what, took.Milliseconds(), four.Milliseconds(), steps, c.trace.syncs())
				if took > catchUpBound {
					t.Errorf("replaced after %v, allowed %v", took, catchUpBound)
				}
			})
		}
	}
}

// A VM that doesn't come back is replaced by a spare.
func TestGoneMachinesAreReplacedInTime(t *testing.T) {
	for number := 1; number <= 2; number++ {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			c := newCore(t, number)
			gone := c.followers()[:number]
			left := slices.DeleteFunc(slices.Clone(c.machines), func(m *machine) bool { return slices.Contains(gone, m) })
			c.trace.reset()
			begin := time.Now()
			for _, m := range gone {
				m.held.Store(int64(time.Hour)) // calls get no response, rather than being refused
				m.halt()
			}
			c.eventually("the spares are voters", func() bool { return c.replaced(left...) })
			took := time.Since(begin)
			c.eventually("the last step is seen", c.hasSeenAllVoters)
			steps, four := c.history(begin)
			t.Logf("%d gone: replaced after %d ms, four voters for %d ms: %s; %s", number, took.Milliseconds(), four.Milliseconds(), steps, c.trace.syncs())
			if took > catchUpBound {
				t.Errorf("replaced after %v, allowed %v", took, catchUpBound)
			}
		})
	}
}
