package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	replacedJob = "00000000000000f1"
	successorIn = 500 * time.Millisecond // the site's replace_core has 2 s at most
	// caughtUp is the time after which a VM that was started no longer counts as lost: catch_up_s (4),
	// and a second more.
	caughtUp = 5 * time.Second
	// recovery is more than recovery_s (12) and finish_s (14) together.
	recovery = 30 * time.Second
)

// playReplaced: two VMs of the core are replaced by empty ones, the second when the successor of the
// first has had its time to catch up. At no time is more than one of three lost.
func playReplaced(c *cell, trouble bool) ([]string, error) {
	for range 2 {
		if err := c.addMinion(func(string, int64, string) (time.Duration, string) { return 2 * time.Second, "done" }); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	step := map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}
	if err := c.submit(replacedJob, step); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		leader := c.leader()
		if leader == nil {
			return nil, fmt.Errorf("%w: no leader is known", errCouldNotRun)
		}
		var others []int
		for i := range vms {
			if c.vmIP(i) != leader.ip {
				others = append(others, i)
			}
		}
		if err := c.replaceVM(others[0], vms, successorIn); err != nil {
			return nil, err
		}
		time.Sleep(caughtUp)
		if err := c.replaceVM(others[1], vms+1, successorIn); err != nil {
			return nil, err
		}
	}
	var state string
	var status int
	for deadline := time.Now().Add(recovery); time.Now().Before(deadline); time.Sleep(time.Second) {
		state = c.state(replacedJob)
		for i := range vms {
			var err error
			if status, _, err = c.call(http.MethodGet, c.at(c.knownIP(i), controlPort), "/api/config", "", nil); err == nil && status == http.StatusOK {
				break
			}
			c.rec.logf("operator: GET /api/config: %d %v", status, errText(err))
		}
		if state == "completed" && status == http.StatusOK {
			return nil, nil
		}
	}
	var broken []string
	if state != "completed" {
		broken = append(broken, fmt.Sprintf("LOST: the accepted job has no answer %v after the last VM was started: %s", recovery, state))
	}
	if status != http.StatusOK {
		broken = append(broken, fmt.Sprintf("CONFIG: the acknowledged manifest can't be read back: %d", status))
	}
	return broken, nil
}
