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
// goes on. All methods may be called concurrently.
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

// NewAsyncWriter returns a Buffer that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, done: make(chan struct{}), stop: make(chan struct{}), pendingReady: make(chan struct{}, 1)}
	go b.writeLoop()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := !b.closed && len(b.pending)+len(line) <= maxPendingBytes
	if fits {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	if !fits {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.pendingReady <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the buffered lines and stops the writer. Lines that can't be
// written within closeTimeout may be lost.
func (b *AsyncWriter) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	b.mu.Unlock()
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}

func (b *AsyncWriter) writeLoop() {
	defer close(b.done)
	var reported int64
	for open := true; open; {
		select {
		case <-b.stop:
			open = false
		case <-b.pendingReady:
			time.Sleep(flushDelay) // batches lines; delays no caller
		}
		b.mu.Lock()
		lines := b.pending
		b.pending = nil
		b.mu.Unlock()
		if dropped := b.dropped.Load(); dropped != reported {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
		b.writeLines(lines)
	}
}

// writeLines writes the lines in chunks that a pipe accepts atomically, and
// retries after a failed write until Close. Meanwhile new lines are buffered.
func (b *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		n, err := b.out.Write(lines[:min(len(lines), atomicPipeWriteBytes)])
		lines = lines[n:]
		if err == nil {
			continue
		}
		select {
		case <-b.stop:
			// The failure of the log itself can't be reported anywhere.
			return
		case <-time.After(flushDelay):
		}
	}
}
