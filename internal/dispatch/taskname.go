package dispatch

import (
	"strconv"
	"strings"
)

// taskName identifies a task. Its text form is "job.occurrence.step.index".
type taskName struct {
	job        string
	occurrence int
	step       int
	index      int
}

func (n taskName) String() string {
	return stepName(n.job, n.occurrence, n.step) + "." + strconv.Itoa(n.index)
}

// stepName returns the text form "job.occurrence.step".
func stepName(job string, occurrence, step int) string {
	return job + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// parseTaskName parses the text form of a task name. It returns false if the
// text is malformed.
func parseTaskName(text string) (taskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	name := taskName{job: parts[0]}
	for i, field := range []*int{&name.occurrence, &name.step, &name.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return taskName{}, false
		}
		*field = n
	}
	return name, true
}
