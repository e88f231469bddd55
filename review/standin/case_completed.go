package main

import (
	"fmt"
	"time"
)

const completedJob = "00000000000000c1"

// playCompleted: the first run of a lasting task ends done, the task is restarted, and later the
// leader is killed.
func playCompleted(c *cell, trouble bool) ([]string, error) {
	runs := 0 // guarded by the minions' one caller at a time: there is one task
	for range 2 {
		if err := c.addMinion(func(string, int64, string) (time.Duration, string) {
			runs++
			if runs == 1 {
				return 5 * time.Second, "done"
			}
			return time.Hour, ""
		}); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	step := map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": true}
	if err := c.submit(completedJob, step); err != nil {
		return nil, err
	}
	tasks := taskNames(completedJob, 1)
	if err := awaitRunning(c, tasks, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	if err := awaitRunning(c, tasks, 10*time.Second); err != nil {
		return nil, err
	}
	c.state(completedJob)
	if trouble {
		leader := c.leader()
		if leader == nil {
			return nil, fmt.Errorf("%w: no leader is known", errCouldNotRun)
		}
		leader.kill()
	}
	broken := awaitIdle(c, tasks, 30*time.Second)
	c.state(completedJob)
	return broken, nil
}
