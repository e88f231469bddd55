package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	writerMinions = 8
	writerTasks   = 6
	writerWatch   = 15 * time.Second
)

// otherWriter hands in a job with six tasks of 25 s each. Meanwhile another writer sends one report that names a service
// that no manifest has, under the id of a minion that runs some of them. No task may run twice at the same time.
func otherWriter(c *cell) error {
	c.queue("plans", "/plans/", 1, 4)
	if err := c.startSystem(); err != nil {
		return err
	}
	minions := make([]*program, writerMinions)
	for i := range minions {
		var err error
		if minions[i], err = c.startMinion(i, 0); err != nil {
			return err
		}
	}
	const id = "00000000000000a1"
	if err := c.submit("/plans/", id, map[string]any{
		"spec": "done 25000", "steps": []any{map[string]any{"count": writerTasks, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 25000}},
	}); err != nil {
		return err
	}
	var tasks []string
	for i := range writerTasks {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, i))
	}
	if err := c.await(10*time.Second, "all tasks run", func() bool { return len(c.running()) == writerTasks }); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	index := c.busiest(tasks, minions)
	if c.trouble {
		if err := c.sendOddReport(index, minions[index].name); err != nil {
			return err
		}
	}
	c.watch("/plans/", id, writerWatch)
	return c.judgeTwice(tasks)
}

// sendOddReport sends the other writer's report. Apart from the service it is like a minion's own.
func (c *cell) sendOddReport(index int, id string) error {
	body, _ := json.Marshal(map[string]any{
		"service": "inventory-agent", "address": c.minionAddress(index), "zone": zones[index%c.machines], "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "capacity": map[string]any{"cpu": 16000, "mem_mb": 65536, "gpu": 0},
		"labels": []string{"a", fmt.Sprintf("r1-%d", index/4)}, "clock_ms": 1000, "sequence": 1, "born": time.Now().Add(-time.Second).UnixMilli(),
	})
	machine := 0
	return c.await(5*time.Second, "the other writer's report is answered", func() bool {
		machine++
		status, answer, err := c.call(http.MethodPut, "http://"+c.address(machine%c.machines, portControl)+"/api/instances/"+id, "", body, time.Second)
		c.note("other writer: PUT /api/instances/%s %s: %d %s %v", id, body, status, answer, err)
		return status != 0
	})
}

// judgeTwice checks that no two runs of a task were on minions at the same time, and that the job went on.
func (c *cell) judgeTwice(tasks []string) error {
	for _, task := range tasks {
		open := make(map[string]runLine) // by minion and run
		for _, line := range c.runs() {
			if line.task != task {
				continue
			}
			key := line.minion + " run " + line.run
			if line.kind != "start" {
				delete(open, key)
				continue
			}
			for other, earlier := range open {
				c.note("task %s starts as %s while it runs as %s", task, key, other)
				return fmt.Errorf("%w: TWICE: the task %s was started on %s while its run of %.1f s before was still on %s",
					errBroken, task, line.minion, line.at.Sub(earlier.at).Seconds(), earlier.minion)
			}
			open[key] = line
		}
	}
	return nil
}

// running returns the last start of each task that has no end yet.
func (c *cell) running() map[string]runLine {
	running := make(map[string]runLine)
	for _, line := range c.runs() {
		if line.kind == "start" {
			running[line.task] = line
		} else if running[line.task].run == line.run {
			delete(running, line.task)
		}
	}
	return running
}

// busiest returns the index of the minion that runs most of the tasks.
func (c *cell) busiest(tasks []string, minions []*program) int {
	counts, best := make([]int, len(minions)), 0
	running := c.running()
	for _, task := range tasks {
		for i, m := range minions {
			if line, ok := running[task]; ok && line.minion == m.name {
				counts[i]++
			}
		}
	}
	for i, count := range counts {
		if count > counts[best] {
			best = i
		}
	}
	c.note("tasks running by minion: %v", counts)
	return best
}
