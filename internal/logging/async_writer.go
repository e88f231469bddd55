package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter buffers lines and writes them from its own goroutine, so that a
// stalled reader never blocks the callers of Write. Lines that don't fit in the
// buffer are dropped and counted; the count is written as a log line once writing
// resumes. All methods may be called concurrently.
type AsyncWriter struct {
	out          io.Writer
	dropped      atomic.Int64
	done         chan struct{}
	stop         chan struct{}
	pendingReady chan struct{}

	mu      sync.Mutex
	pending []byte
	closed  bool
}

const (
	maxPendingBytes = 1 << 20 // buffered while the reader is stalled
	// flushDelay batches lines into one write, and is the backoff after a failed one.
	flushDelay = 20 * time.Millisecond
	// atomicPipeWriteBytes is the largest write that a pipe accepts atomically
	// (PIPE_BUF).
	atomicPipeWriteBytes = 4096 // bytes
	// closeTimeout bounds the last write, since the reader may be gone.
	closeTimeout = 200 * time.Millisecond
)

// NewAsyncWriter returns an AsyncWriter that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, done: make(chan struct{}), stop: make(chan struct{}), pendingReady: make(chan struct{}, 1)}
	go w.writeLoop()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	fits := !w.closed && len(w.pending)+len(line) <= maxPendingBytes
	if fits {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	if !fits {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.pendingReady <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. Lines that can't be
// written within closeTimeout may be lost.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *AsyncWriter) writeLoop() {
	defer close(w.done)
	var reported int64
	for open := true; open; {
		select {
		case <-w.stop:
			open = false
		case <-w.pendingReady:
			time.Sleep(flushDelay) // batches lines; delays no caller
		}
		w.mu.Lock()
		lines := w.pending
		w.pending = nil
		w.mu.Unlock()
		if dropped := w.dropped.Load(); dropped != reported {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
		w.writeLines(lines)
	}
}

// writeLines writes the lines in chunks that a pipe accepts atomically, and
// retries after a failed write until Close. Meanwhile new lines are buffered.
func (w *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		n, err := w.out.Write(lines[:min(len(lines), atomicPipeWriteBytes)])
		lines = lines[n:]
		if err == nil {
			continue
		}
		select {
		case <-w.stop:
			// The failure of the log itself can't be reported anywhere.
			return
		case <-time.After(flushDelay):
		}
	}
}
