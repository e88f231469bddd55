package failure_test

// endReported records that a worker has told the result of a run in a response. A leader may count it, also if the
// worker crashes before the result is acknowledged.
func (c *soakChecker) endReported(task string, run int64, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result == "failed" {
		c.addFailure(c.reportedFailures, task, run)
	}
}

// addFailure adds the failure of a run to the failures. The caller holds the lock.
func (c *soakChecker) addFailure(failures map[string]map[int64]bool, task string, run int64) {
	countedAs := task
	if j := c.jobs[jobOf(task)]; j != nil && j.gang {
		countedAs = j.id // the failures of a gang's members are counted together
	}
	if failures[countedAs] == nil {
		failures[countedAs] = make(map[int64]bool)
	}
	failures[countedAs][run] = true
}

// hasFailed reports whether soakMaxAttempts failures of a task of the job were reported. The caller
// holds the lock.
func (c *soakChecker) hasFailed(id string) bool {
	for task, runs := range c.reportedFailures {
		if jobOf(task) == id && len(runs) >= soakMaxAttempts {
			return true
		}
	}
	return false
}
