package main

import (
	"fmt"
	"time"
)

const (
	idleTime  = 3 * time.Second // "for 3 s, a job has nothing running"
	afterRun  = 6 * time.Second // "from 6 s after its last run"
	calmTime  = 4 * time.Second // "if the 3 s and the 4 s before them are calm"
	checkStep = 100 * time.Millisecond
)

// awaitIdle watches tasks that last until one of them has had nothing running for idleTime, from
// afterRun after its last run and with calmTime of calm before, or the time is over. While it
// watches, no minion is down: there is capacity for each task many times over, and under half of
// it is in use.
func awaitIdle(c *cell, tasks []string, longest time.Duration) []string {
	for deadline := time.Now().Add(longest); time.Now().Before(deadline); time.Sleep(checkStep) {
		now := c.rec.now()
		last := make(map[string]time.Duration)
		running := make(map[string]bool)
		for _, one := range c.rec.all() {
			if one.how == "" {
				running[one.task] = true
			}
			last[one.task] = max(last[one.task], one.end)
		}
		var broken []string
		for _, task := range tasks {
			if !running[task] && now-last[task] >= afterRun+idleTime && now-c.rec.lastDisruption() >= calmTime+idleTime {
				broken = append(broken, fmt.Sprintf("LOST: the lasting task %s has had nothing running since %.3f, now %.3f",
					task, last[task].Seconds(), now.Seconds()))
			}
		}
		if len(broken) > 0 {
			return broken
		}
	}
	return nil
}

// awaitRunning waits until each of the tasks runs.
func awaitRunning(c *cell, tasks []string, longest time.Duration) error {
	for deadline := time.Now().Add(longest); time.Now().Before(deadline); time.Sleep(checkStep) {
		running := 0
		for _, task := range tasks {
			running += min(1, c.rec.active(task))
		}
		if running == len(tasks) {
			return nil
		}
	}
	return fmt.Errorf("%w: not all tasks run", errCouldNotRun)
}

func taskNames(job string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s.0.0.%d", job, i))
	}
	return names
}

// where returns the minion on which the task runs, or nil.
func (c *cell) where(task string) *minion {
	for _, m := range c.minions {
		if m.runs(task) {
			return m
		}
	}
	return nil
}
