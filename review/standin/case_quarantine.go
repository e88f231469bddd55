package main

import "time"

// playQuarantine: lasting tasks of three jobs fail now and then, as they may. Their minions are
// sound and nearly empty.
func playQuarantine(c *cell, trouble bool) ([]string, error) {
	forever := func(string, int64, string) (time.Duration, string) { return time.Hour, "" }
	for range 2 {
		if err := c.addMinion(forever); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	var tasks []string
	for _, job := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		step := map[string]any{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "long_running": true}
		if err := c.submit(job, step); err != nil {
			return nil, err
		}
		tasks = append(tasks, taskNames(job, 2)...)
	}
	if err := awaitRunning(c, tasks, 10*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		// Two rounds over the jobs: one failure each 4 s, each of another job than the one before.
		for round := range 2 {
			for i := range tasks {
				task := tasks[(2*i)%len(tasks)+(2*i)/len(tasks)]
				if m := c.where(task); m != nil {
					c.rec.disruption("%s fails (round %d)", task, round+1)
					m.failTask(task)
				}
				time.Sleep(4 * time.Second)
			}
		}
	}
	return awaitIdle(c, tasks, 20*time.Second), nil
}
