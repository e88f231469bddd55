package main

import (
	"fmt"
	"time"
)

const (
	failingMinions = 4
	failingJobs    = 2
	failingLength  = 85 * time.Second
	// lastingBound is when a task that lasts has to run again: the rule's 6 s after its last run, and 3 s.
	lastingBound = 9 * time.Second
	// ordinaryBound is when a job has to have begun once no more are handed in: finish_s and the rule's 3 s.
	ordinaryBound = 17 * time.Second
)

// lastingFailing hands in two jobs whose task lasts and fails 1 s after each start, and then one whose task fails after
// 25 s. All of them together use a twentieth of the capacity. The task of the last one must run again within 9 s each
// time. An ordinary job of half a second is handed in 50 s before the end: it must have begun 17 s later.
func lastingFailing(c *cell) error {
	c.queue("services", "/services/", 1, 4)
	if err := c.startSystem(); err != nil {
		return err
	}
	for i := range failingMinions {
		if _, err := c.startMinion(i, 0); err != nil {
			return err
		}
	}
	step := []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true}}
	if c.trouble {
		for i := range failingJobs {
			if err := c.submit("/services/", fmt.Sprintf("00000000000000b%d", i), map[string]any{"spec": "fail 1000", "steps": step}); err != nil {
				return err
			}
		}
	}
	const id = "00000000000000a1"
	if err := c.submit("/services/", id, map[string]any{"spec": "fail 25000", "steps": step}); err != nil {
		return err
	}
	end := time.Now().Add(failingLength)
	c.watch("/services/", id, 35*time.Second)
	const ordinary = "00000000000000c1"
	if err := c.submit("/services/", ordinary, map[string]any{
		"spec": "done 500", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 500}},
	}); err != nil {
		return err
	}
	accepted := time.Now()
	c.watch("/services/", ordinary, time.Until(end))
	if err := c.judgeGaps(id+".0.0.0", end); err != nil {
		return err
	}
	return c.judgeBegun(ordinary+".0.0.0", accepted)
}

// judgeGaps checks that the task never has nothing running for longer than lastingBound after a run of it has ended.
func (c *cell) judgeGaps(task string, until time.Time) error {
	var ended time.Time
	longest := time.Duration(0)
	close := func(at time.Time) {
		if !ended.IsZero() {
			longest = max(longest, at.Sub(ended))
		}
		ended = time.Time{}
	}
	for _, line := range c.runs() {
		if line.task != task || line.at.After(until) {
			continue
		}
		close(line.at)
		if line.kind == "end" {
			ended = line.at
		}
	}
	close(until)
	c.note("task %s: the longest time after a run without the next one is %.1f s", task, longest.Seconds())
	if longest > lastingBound {
		return fmt.Errorf("%w: LOST: the task %s had nothing running for %.1f s after its last run, with room on all minions", errBroken, task, longest.Seconds())
	}
	return nil
}

// judgeBegun checks that the task was started in time after its job was accepted.
func (c *cell) judgeBegun(task string, accepted time.Time) error {
	for _, line := range c.runs() {
		if line.task == task && line.kind == "start" && line.at.Sub(accepted) <= ordinaryBound {
			return nil
		}
	}
	return fmt.Errorf("%w: LOST: the task %s was not started within %v, with room on all minions", errBroken, task, ordinaryBound)
}
