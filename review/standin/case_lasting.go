package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	lastingJob     = "00000000000000d1"
	lastingMinions = 10
	flapGap        = 1400 * time.Millisecond // the site's srv_flap: share 0.1, gap_s 1.4, for_s 6.5
	flapTime       = 6500 * time.Millisecond
)

// playLasting: a service has one lasting task on each of ten minions, and one minion goes down and
// up by turns.
func playLasting(c *cell, trouble bool) ([]string, error) {
	for range lastingMinions {
		if err := c.addMinion(func(string, int64, string) (time.Duration, string) { return time.Hour, "" }); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": lastingMinions, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": true, "anti_affinity": 1}
	if err := c.submit(lastingJob, step); err != nil {
		return nil, err
	}
	tasks := taskNames(lastingJob, lastingMinions)
	if err := awaitRunning(c, tasks, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		m := c.where(tasks[3])
		c.rec.disruption("minion %s goes down and up by turns", m.name)
		for begin := time.Now(); time.Since(begin) < flapTime; {
			m.crash()
			time.Sleep(flapGap)
			if err := m.up(); err != nil {
				return nil, errors.Join(errCouldNotRun, err)
			}
			time.Sleep(flapGap)
		}
		c.rec.disruption("minion %s stays up", m.name)
	}
	broken := awaitIdle(c, tasks, 25*time.Second)
	if state := c.state(lastingJob); state == "failed" || state == "cancelled" || state == "410" {
		broken = append([]string{fmt.Sprintf("LOST: the job, which nobody has cancelled, is shown as %s; no run of it has ended failed", state)}, broken...)
	}
	return broken, nil
}
