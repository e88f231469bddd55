package dispatch

import (
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// runLogInterval is how long events of runs are collected for one log line of each kind.
	runLogInterval = 100 * time.Millisecond
	// maxRunsPerLine bounds the events in one line. Further ones are only counted.
	maxRunsPerLine = 400
)

// runEvent is a kind of event that is frequent enough to be logged for many runs at once.
type runEvent int

const (
	runStarted runEvent = iota
	runAdopted
	runEnded
	runEventKinds
)

// runLog logs events of runs, with the ids of their tasks and workers. One line tells of all events of
// a kind within runLogInterval, as a line for each takes the leader more time than what it tells of.
type runLog struct {
	logger *slog.Logger

	mu      sync.Mutex
	events  [runEventKinds][]string
	leftOut [runEventKinds]int // events beyond maxRunsPerLine
}

// add adds an event: the task and number of the run, the worker's id, and details.
func (l *runLog) add(kind runEvent, task string, number int64, worker string, details []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events[kind]) >= maxRunsPerLine {
		l.leftOut[kind]++
		return
	}
	text := make([]byte, 0, len(task)+len(worker)+len(details)+32)
	text = append(append(text, task...), " number="...)
	text = append(append(strconv.AppendInt(text, number, 10), " worker="...), worker...)
	l.events[kind] = append(l.events[kind], string(append(text, details...)))
}

// flush logs the events since the last call.
func (l *runLog) flush() {
	l.mu.Lock()
	events, leftOut := l.events, l.leftOut
	l.events, l.leftOut = [runEventKinds][]string{}, [runEventKinds]int{}
	l.mu.Unlock()
	if runs := events[runStarted]; len(runs) > 0 {
		l.logger.Info("runs started", "runs", runs, "left_out", leftOut[runStarted])
	}
	if runs := events[runAdopted]; len(runs) > 0 {
		l.logger.Info("runs adopted", "runs", runs, "left_out", leftOut[runAdopted])
	}
	if runs := events[runEnded]; len(runs) > 0 {
		l.logger.Info("runs ended", "runs", runs, "left_out", leftOut[runEnded])
	}
}

// logRuns flushes the log of runs until the term ends.
func (d *Dispatcher) logRuns() {
	for sleep(d.ctx, runLogInterval) == nil {
		d.runLog.flush()
	}
}

// logRunStarted logs that the worker has confirmed the start of a run. What tells incarnations apart is
// logged unless the response shows that the known one has executed it.
func (p *pool) logRunStarted(r *run, attempt int, answer time.Duration, clockMs int64) {
	details := appendDetail(nil, "answer_ms", answer.Milliseconds())
	if attempt > 1 || !r.located {
		details = appendDetail(details, "tries", int64(attempt))
		details = appendDetail(details, "born", r.worker.record.GetBornUnixMs())
		details = appendDetail(details, "clock_ms", clockMs)
		details = appendDetail(details, "clock_before_ms", r.clockBefore)
	}
	p.d.runLog.add(runStarted, r.name, r.number, r.worker.id, details)
}

// logRunListed logs that a worker's report lists a run whose start it had not confirmed, or that this
// leader has not started.
func (p *pool) logRunListed(kind runEvent, r *run) {
	p.d.runLog.add(kind, r.name, r.number, r.worker.id, appendDetail([]byte(" seen=report"), "born", r.worker.record.GetBornUnixMs()))
}

// logRunEnded logs the end of a run.
func (p *pool) logRunEnded(w *worker, end EndedRun) {
	details := append([]byte(" outcome="), runOutcomeNames[end.Outcome]...)
	if end.Checkpoint != "" {
		details = append(details, " saved"...)
	}
	if w.lost { // another incarnation may have the same id
		details = appendDetail(details, "born", w.record.GetBornUnixMs())
	}
	p.d.runLog.add(runEnded, end.Task, end.Run, w.id, details)
}

func appendDetail(details []byte, key string, value int64) []byte {
	details = append(append(append(details, ' '), key...), '=')
	return strconv.AppendInt(details, value, 10)
}

// logRun returns the log attributes that identify a run.
func logRun(r *run) slog.Attr {
	return slog.Group("run", "task", r.name, "number", r.number, "worker", r.worker.id, "born", r.worker.record.GetBornUnixMs())
}
