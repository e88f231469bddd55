package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logBuffer keeps what is logged.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

// A line for the start and for the end of each task took the leader's processor time from the starts
// and ends that came after.
func TestLinesOfRunsAreBounded(t *testing.T) {
	is := is.New(t)
	const tasks = 300
	w := newFakeWorker("w1", tasks*1000)
	c := newTestCluster(t, w)
	var logged logBuffer
	c.logger = slog.New(slog.NewJSONHandler(&logged, nil))
	begin := time.Now()
	_, stop := c.startLeader()
	c.submit("00000000000000a1", stepOf(tasks, 1000))
	c.eventually("all tasks run", func() bool { return len(w.running()) == tasks })
	c.eventually("all ends are acknowledged", func() bool {
		w.finishAll(done)
		ended := 0
		w.withLock(func() { ended = len(w.ended) })
		return ended == 0 && len(w.running()) == 0
	})
	stop()
	intervals := int(time.Since(begin)/runLogInterval) + 1
	listed := make(map[string]int) // lines that name the run, by message and task
	lines := 0
	for _, line := range logged.lines() {
		var record struct {
			Message string   `json:"msg"`
			Runs    []string `json:"runs"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &record))
		if strings.HasPrefix(record.Message, "run") {
			lines++
		}
		for _, text := range record.Runs {
			task, details, _ := strings.Cut(text, " ")
			is.True(strings.Contains(details, "number=") && strings.Contains(details, "worker=w1"))
			listed[record.Message+" "+task]++
		}
	}
	is.True(lines <= 2*intervals)
	for i := range tasks {
		for _, message := range []string{"runs started", "runs ended"} {
			is.Equal(listed[fmt.Sprintf("%s 00000000000000a1.0.0.%d", message, i)], 1)
		}
	}
}

// Beyond a number of runs a line only tells how many there were.
func TestLineOfRunsCountsWhatItLeavesOut(t *testing.T) {
	is := is.New(t)
	var logged logBuffer
	l := &runLog{logger: slog.New(slog.NewJSONHandler(&logged, nil))}
	for i := range maxRunsPerLine + 7 {
		l.add(runEnded, "a1.0.0.0", int64(i), "w1", []byte(" outcome=done"))
	}
	l.flush()
	l.flush() // nothing is left
	is.Equal(len(logged.lines()), 1)
	line := logged.lines()[0]
	is.Equal(strings.Count(line, "outcome=done"), maxRunsPerLine)
	is.True(strings.Contains(line, `"left_out":7`))
	is.True(strings.Contains(line, `"a1.0.0.0 number=3 worker=w1 outcome=done"`))
}
