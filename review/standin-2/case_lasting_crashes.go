package main

import (
	"fmt"
	"time"
)

const (
	lastingMinions = 8 // one of them is 12.5 %, less than the share of 0.14 that is down at once in the site file
	lastingCrashed = 3 // how often the minion that runs the task crashes
	minionDown     = 1500 * time.Millisecond
	minionCalm     = 6 * time.Second
)

// lastingCrashes hands in a job with one task that lasts. The minion that runs it crashes, one at a time and three times
// in all, and is back after 1.5 s. Nobody cancels the job, and no run ends "failed": it must never be shown as
// "failed".
func lastingCrashes(c *cell) error {
	c.queue("services", "/services/", 1, 4)
	if err := c.startSystem(); err != nil {
		return err
	}
	minions, lives := make([]*program, lastingMinions), make([]int, lastingMinions)
	for i := range minions {
		var err error
		if minions[i], err = c.startMinion(i, 0); err != nil {
			return err
		}
	}
	const id, prefix = "00000000000000a1", "/services/"
	if err := c.submit(prefix, id, map[string]any{
		"spec": "a service", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true}},
	}); err != nil {
		return err
	}
	task := id + ".0.0.0"
	for crash := range lastingCrashed {
		if err := c.await(20*time.Second, "the task runs", func() bool { return c.runsOn(task, minions, lives) >= 0 }); err != nil {
			return c.judgeLasting(prefix, id, err)
		}
		c.watch(prefix, id, minionCalm)
		index := c.runsOn(task, minions, lives)
		if !c.trouble || index < 0 {
			continue
		}
		c.note("minion %s is killed (crash %d)", minions[index].name, crash+1)
		minions[index].kill()
		time.Sleep(minionDown)
		lives[index]++
		var err error
		if minions[index], err = c.startMinion(index, lives[index]); err != nil {
			return err
		}
		c.note("minion %s starts", minions[index].name)
	}
	c.watch(prefix, id, 8*time.Second)
	return c.judgeLasting(prefix, id, nil)
}

// runsOn returns the index of the minion, of those that are up, that runs the task; -1 if none does.
func (c *cell) runsOn(task string, minions []*program, lives []int) int {
	found := -1
	for _, line := range c.runs() {
		if line.task != task {
			continue
		}
		for i, m := range minions {
			if m.name == line.minion && line.kind == "start" {
				found = i
			}
			if m.name == line.minion && line.kind == "end" && found == i {
				found = -1
			}
		}
	}
	return found
}

// watch reads the job's state for so long, each 0.5 s, and notes each change.
func (c *cell) watch(prefix, id string, length time.Duration) {
	last := ""
	machine := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		machine++
		status, state := c.state(machine, prefix, id)
		if text := fmt.Sprintf("%d %q", status, state); text != last {
			last = text
			c.note("GET %s%s: %s", prefix, id, text)
		}
	}
}

// judgeLasting checks that the job is not shown as ended, and that its task runs.
func (c *cell) judgeLasting(prefix, id string, err error) error {
	var status int
	var state string
	for machine := range machineCount {
		status, state = c.state(machine, prefix, id)
		c.note("GET %s%s: %d %q", prefix, id, status, state)
		if state == "failed" || state == "cancelled" {
			return fmt.Errorf("%w: LOST: the job that nobody has cancelled is shown as %q, and no run has ended failed", errBroken, state)
		}
	}
	return err
}
