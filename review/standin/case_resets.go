package main

import (
	"errors"
	"time"
)

const (
	resetsJob     = "00000000000000e1"
	resetsMinions = 6
	resetsTasks   = 12
	resetsWork    = 8 * time.Second
	resetsCut     = 5500 * time.Millisecond // the site's node_cut: share 0.17, for_s 5.5
)

// playResets: one of six minions is cut off by a link that resets connections, and runs on.
func playResets(c *cell, trouble bool) ([]string, error) {
	for range resetsMinions {
		if err := c.addMinion(func(string, int64, string) (time.Duration, string) { return resetsWork, "done" }); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	step := map[string]any{"count": resetsTasks, "cpu": 4500, "mem_mb": 2048, "estimate_ms": resetsWork.Milliseconds()}
	if err := c.submit(resetsJob, step); err != nil {
		return nil, err
	}
	tasks := taskNames(resetsJob, resetsTasks)
	if err := awaitRunning(c, tasks, 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		m := c.where(tasks[0])
		m.cutOffWithResets()
		time.Sleep(resetsCut)
		if err := m.healResets(); err != nil {
			return nil, errors.Join(errCouldNotRun, err)
		}
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		if c.state(resetsJob) == "completed" {
			break
		}
	}
	time.Sleep(2 * time.Second)
	return checkTwice(c.rec.all()), nil
}
