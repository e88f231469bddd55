package failure_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

// successorDelay is the time from the loss of a VM to the start of its successor.
const successorDelay = 500 * time.Millisecond

// TestCoreSurvivesVMsReplacedInTurn replaces VMs of the core for good, each once the
// successor of the one before has had the time to catch up. A replacement that took longer
// left the core without a majority at the next loss, and nothing was served any more.
func TestCoreSurvivesVMsReplacedInTurn(t *testing.T) {
	for name, test := range map[string]struct {
		seed   int64
		losses []func(*soakCell) int // index in c.control of the VM that is lost next
	}{
		"followers":            {289, []func(*soakCell) int{(*soakCell).follower, (*soakCell).follower}},
		"leaders":              {290, []func(*soakCell) int{(*soakCell).leader, (*soakCell).leader}},
		"the whole first core": {291, []func(*soakCell) int{oldest, oldest, oldest, oldest}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLimitedSoakCell(t, test.seed, 0, 0)
			await(t, "the cell to form and to serve a configuration", func() bool {
				return c.publish(&http.Client{Timeout: time.Second}, 1)
			})
			for i, next := range test.losses {
				if i > 0 {
					time.Sleep(soakCatchUpBound)
				}
				c.replaceVM(next(c), soakControlCount+i)
			}
			await(t, "a publication after the last loss", func() bool {
				return c.publish(&http.Client{Timeout: time.Second}, 2)
			})
			c.readVersion(&http.Client{Timeout: time.Second})
			random := rand.New(rand.NewSource(test.seed))
			id := fmt.Sprintf("%016x", random.Uint64())
			c.checker.jobSubmitted(id, 1, false)
			await(t, "an entry that reaches the new core", func() bool {
				return c.submit(&http.Client{Timeout: soakCallTimeout}, random, id, soakJobBody(1, false))
			})
			for _, violation := range c.checker.recordedViolations() {
				t.Error(violation)
			}
		})
	}
}

// replaceVM takes a control process's VM away for good and starts an empty one at another
// address. The settings of the new one still name the lost one, as the operator's list lags.
func (c *soakCell) replaceVM(lost, successor int) {
	c.t.Helper()
	gone := c.control[lost]
	gone.link.SetFault(relay.Fault{DropToTarget: true, DropToClient: true})
	gone.killAndWait()
	time.Sleep(successorDelay)
	p := c.newProcess("control", successor)
	c.replaceMember(gone, p)
	p.writeSettingsAndStart(false)
	if lost < len(c.seeds) {
		c.seeds[lost] = successor
	}
}

// leader returns the index of the control process that serves reads of the configuration.
func (c *soakCell) leader() int {
	c.t.Helper()
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	found := -1
	await(c.t, "a leader", func() bool {
		found = slices.IndexFunc(c.control, func(p *soakProcess) bool {
			response, err := client.Get("http://" + p.directAddress(12) + "/api/config")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		return found >= 0
	})
	return found
}

// follower returns the index of a control process that doesn't lead, the oldest if it can be.
func (c *soakCell) follower() int {
	leader := c.leader()
	for i := range c.control {
		if at := (oldest(c) + i) % len(c.control); at != leader {
			return at
		}
	}
	return 0
}

// oldest returns the index of the control process that was started first.
func oldest(c *soakCell) int { return len(c.lostVMs) % len(c.control) }
