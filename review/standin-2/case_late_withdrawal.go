package main

import (
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	withdrawalMinions = 6
	// withdrawalCut is how long one of the six minions and one of the four machines are cut from each other.
	withdrawalCut = 3500 * time.Millisecond
)

// lateWithdrawal restarts the only minion of a kind as planned, under the id that it had. Its withdrawal is held up by a
// cut between it and the machine that it reports to, which leads, and arrives after the new life has registered elsewhere.
// A job that needs this kind has to begin afterwards.
func lateWithdrawal(c *cell) error {
	c.machines = 4 // one of them is a quarter
	c.queue("plans", "/plans/", 1, 4)
	if err := c.startSystem(); err != nil {
		return err
	}
	leader, err := c.leader()
	if err != nil {
		return err
	}
	for i := range withdrawalMinions - 1 {
		if _, err := c.startMinion(i+1, 0); err != nil {
			return err
		}
	}
	// Between the minion and the machine that leads, which alone calls minions, are two proxies, one for each direction.
	const first, listens, reports = 0, 50, 51
	toMinion, err := newProxy(c.minionAddress(first), c.minionAddress(listens))
	if err != nil {
		return err
	}
	toLeader, err := newProxy(c.minionAddress(reports), c.address(leader, portControl))
	if err != nil {
		return err
	}
	// The minion begins with the machine that leads, and goes on to the others.
	control := []string{c.minionAddress(reports)}
	for machine := range c.machines {
		if machine != leader {
			control = append(control, c.address(machine, portControl))
		}
	}
	start := func(life int) (*program, error) {
		return c.startMinionAs("i-00", first, life, "-kind", "b", "-fixed", "-control", strings.Join(control, ","), "-listen", c.minionAddress(listens))
	}
	only, err := start(0)
	if err != nil {
		return err
	}
	job := map[string]any{
		"spec": "done 500", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 500, "requirements": "b"}},
	}
	if err := c.runJob("00000000000000a1", job); err != nil {
		return err
	}
	c.note("SIGTERM to minion i-00")
	only.signal(syscall.SIGTERM)
	if c.trouble {
		time.Sleep(2200 * time.Millisecond) // it has been acknowledged that the minion drains
		c.note("the minion and machine %d are cut from each other", leader)
		toMinion.cut()
		toLeader.cut()
	}
	cutAt := time.Now()
	select {
	case <-only.exited:
	case <-time.After(15 * time.Second):
		return errors.New("the minion does not leave")
	}
	c.note("minion i-00 has ended, and starts again under its id")
	if _, err := start(1); err != nil {
		return err
	}
	time.Sleep(time.Until(cutAt.Add(withdrawalCut)))
	if c.trouble {
		toMinion.heal()
		toLeader.heal()
		c.note("the cut has healed")
	}
	time.Sleep(4 * time.Second)
	if now, err := c.leader(); err != nil || now != leader {
		c.note("the leader is machine %d now: %v", now, err)
	}
	const id = "00000000000000a2"
	if err := c.submit("/plans/", id, job); err != nil {
		return err
	}
	accepted := time.Now()
	c.watch("/plans/", id, 30*time.Second)
	return c.judgeBegun(id+".0.0.0", accepted)
}

// leader returns the machine whose control process answers reads of the manifest itself.
func (c *cell) leader() (int, error) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	found := -1
	err := c.await(10*time.Second, "a machine leads", func() bool {
		for machine := range c.machines {
			response, err := client.Get("http://" + c.address(machine, portControl) + "/api/config")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				found = machine
				return true
			}
		}
		return false
	})
	return found, err
}

// runJob hands a job in and waits until it is completed.
func (c *cell) runJob(id string, job map[string]any) error {
	if err := c.submit("/plans/", id, job); err != nil {
		return err
	}
	return c.await(15*time.Second, "the job is completed", func() bool {
		_, state := c.state(0, "/plans/", id)
		return state == "completed"
	})
}
