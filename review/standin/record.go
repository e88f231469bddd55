package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, and keeps all runs for the
// checks.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	runs  []*run

	disrupted time.Duration // when the last disruption began or ended
}

// run is one run of a task on a minion. Times are since the recorder's begin; 0 means not yet.
type run struct {
	task   string
	number int64
	minion string // with its lifetime
	start  time.Duration
	end    time.Duration
	how    string // "": it runs; "crashed": its minion has crashed
	n      int64  // of its end
	noted  time.Duration
	lapsed bool // its minion's lease lapsed between the end and the note
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), file: file}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.begin) }

// logf writes one line with the time since the begin.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// disruption writes a line about a disruption that begins or ends.
func (r *recorder) disruption(format string, args ...any) {
	r.mu.Lock()
	r.disrupted = r.now()
	r.mu.Unlock()
	r.logf("disruption: "+format, args...)
}

func (r *recorder) lastDisruption() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disrupted
}

func (r *recorder) started(task string, number int64, minion string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := &run{task: task, number: number, minion: minion, start: r.now()}
	r.runs = append(r.runs, started)
	_, _ = fmt.Fprintf(r.file, "%9.3f  run begins: %s run %d on %s\n", started.start.Seconds(), task, number, minion)
	return started
}

func (r *recorder) ended(one *run, how string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.end, one.how, one.n = r.now(), how, n
	_, _ = fmt.Fprintf(r.file, "%9.3f  run ends: %s run %d on %s: %s (end %d)\n", one.end.Seconds(), one.task, one.number, one.minion, how, n)
}

// leaseLapsed records that the lease of the run's minion has lapsed, unless its end was noted before.
func (r *recorder) leaseLapsed(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.lapsed = one.lapsed || one.noted == 0
}

// taken records that ack_cursor has reached the run's end.
func (r *recorder) taken(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.noted = r.now()
}

// all returns copies of all runs.
func (r *recorder) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make([]run, len(r.runs))
	for i, one := range r.runs {
		copied[i] = *one
	}
	return copied
}

// active returns how many runs of the task are under way.
func (r *recorder) active(task string) int {
	count := 0
	for _, one := range r.all() {
		if one.task == task && one.how == "" {
			count++
		}
	}
	return count
}
