package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	staleMinions = 8
	// Times from when the occurrence is due. The leader is frozen for 2.2 s and one of eight minions is cut off for
	// 3.4 s; the site file has 6.7 s and 5.5 s.
	staleFreeze = -2000 * time.Millisecond
	staleCut    = -1900 * time.Millisecond
	staleThaw   = 200 * time.Millisecond
	staleHeal   = 1500 * time.Millisecond
	staleTries  = 4 // occurrences
	staleEvery  = 12 * time.Second
)

// staleLeader hands in a job with one task of 1 s, due four times. Shortly before each time the leader is frozen and a
// minion is cut off. The next leader starts the task in time; the former one wakes and must not start it as well.
func staleLeader(c *cell) error {
	c.queue("plans", "/plans/", 1, 4)
	if err := c.choosePorts(); err != nil {
		return err
	}
	var controls [maxMachines]*program
	for machine := range c.machines {
		var err error
		if controls[machine], err = c.startProcess(machine, "control", true); err != nil {
			return err
		}
		if _, err := c.startProcess(machine, "entry", true); err != nil {
			return err
		}
	}
	if err := c.publish(20 * time.Second); err != nil {
		return err
	}
	// The machines reach the first minion through a proxy; its own calls are not cut.
	const first, listens = 0, 50
	toMinion, err := newProxy(c.minionAddress(first), c.minionAddress(listens))
	if err != nil {
		return err
	}
	if _, err := c.startMinionAs("i-00", first, 0, "-kind", "b", "-listen", c.minionAddress(listens)); err != nil {
		return err
	}
	for i := 1; i < staleMinions; i++ {
		if _, err := c.startMinion(i, 0); err != nil {
			return err
		}
	}
	// A task that fills half of the first minion: others are placed there first, as it has the least room left.
	if err := c.submit("/plans/", "00000000000000b1", map[string]any{
		"spec": "a service", "steps": []any{map[string]any{"count": 1, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 60000, "requirements": "b", "long_running": true}},
	}); err != nil {
		return err
	}
	due := time.Now().Add(8 * time.Second).Truncate(time.Millisecond)
	const id = "00000000000000a1"
	if err := c.submit("/plans/", id, map[string]any{
		"spec": "done 1000", "repeat_count": staleTries, "start_at_ms": due.UnixMilli(), "interval_ms": staleEvery.Milliseconds(),
		"steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 1000}},
	}); err != nil {
		return err
	}
	var broken error
	for occurrence := range staleTries {
		at := due.Add(time.Duration(occurrence) * staleEvery)
		// Each leader keeps connections for orders for 30 s; this one gives the minion an order before the cut.
		if err := c.submit("/plans/", fmt.Sprintf("00000000000000c%d", occurrence), map[string]any{
			"spec": "done 300", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 300, "requirements": "b"}},
		}); err != nil {
			return err
		}
		if c.trouble {
			if err := c.freezeLeader(controls, toMinion, at); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(at.Add(5 * time.Second)))
		if err := c.judgeOnce(fmt.Sprintf("%s.%d.0.0", id, occurrence)); err != nil && broken == nil {
			broken = err
		}
	}
	if broken != nil {
		return broken
	}
	for occurrence := range staleTries {
		if !c.hasStarted(fmt.Sprintf("%s.%d.0.0", id, occurrence)) {
			return errors.New("an occurrence has not run")
		}
	}
	return nil
}

// freezeLeader freezes the leader and cuts the minion off around the time.
func (c *cell) freezeLeader(controls [maxMachines]*program, toMinion *proxy, at time.Time) error {
	leader, err := c.leader()
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(staleFreeze)))
	c.note("machine %d, which leads, is frozen", leader)
	controls[leader].signal(syscall.SIGSTOP)
	time.Sleep(time.Until(at.Add(staleCut)))
	c.note("minion i-00 is cut off: calls to it are held up")
	toMinion.cut()
	time.Sleep(time.Until(at.Add(staleThaw)))
	c.note("machine %d wakes", leader)
	controls[leader].signal(syscall.SIGCONT)
	time.Sleep(time.Until(at.Add(staleHeal)))
	toMinion.heal()
	c.note("the cut has healed")
	return nil
}

// judgeOnce checks that the task was not started while it ran, nor after an end "done" that was taken note of: the cursor
// has reached it, then or later, and the minion's lease has not lapsed between the two.
func (c *cell) judgeOnce(task string) error {
	if err := c.judgeTwice([]string{task}); err != nil {
		return err
	}
	var done *runLine
	for _, line := range c.events() {
		switch {
		case line.task != task:
		case line.kind == "end" && line.rest == "done" && c.takenNoteOf(line):
			done = &line
		case line.kind == "start" && done != nil:
			return fmt.Errorf("%w: TWICE: the task %s was started on %s (run %s) after it was done on %s (run %s), which was taken note of",
				errBroken, task, line.minion, line.run, done.minion, done.run)
		}
	}
	return nil
}

// takenNoteOf reports whether an end was taken note of by now.
func (c *cell) takenNoteOf(end runLine) bool {
	after := false
	for _, line := range c.events() {
		switch {
		case line == end:
			after = true
		case !after || line.minion != end.minion:
		case line.kind == "lapse":
			return false
		case line.kind == "noted" && line.task == end.task && line.run == end.run:
			return true
		}
	}
	return false
}

func (c *cell) hasStarted(task string) bool {
	for _, line := range c.runs() {
		if line.task == task && line.kind == "start" {
			return true
		}
	}
	return false
}
