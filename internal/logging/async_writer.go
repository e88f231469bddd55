package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines from a goroutine of its own, so that a reader that does
// not read delays nobody. Lines that find it full are dropped and counted; the
// count is written once there is room again.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
	stop    chan struct{}
	wake    chan struct{}

	mu      sync.Mutex
	pending []byte
	closed  bool
}

const (
	bufferBytes = 1 << 20 // held while the reader does not read
	// flushDelay gathers lines into one write.
	flushDelay = 20 * time.Millisecond
	// pipePiece is what a pipe takes at once or not at all (PIPE_BUF).
	pipePiece = 4096 // bytes
	// closeWait bounds the last write, since nobody may be reading any more.
	closeWait = 200 * time.Millisecond
)

// NewAsyncWriter returns a Buffer that writes to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, done: make(chan struct{}), stop: make(chan struct{}), wake: make(chan struct{}, 1)}
	go b.run()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := !b.closed && len(b.pending)+len(line) <= bufferBytes
	if fits {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	if !fits {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what is left, unless nobody reads it.
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
	case <-time.After(closeWait):
	}
}

func (b *AsyncWriter) run() {
	defer close(b.done)
	var told int64
	for open := true; open; {
		select {
		case <-b.stop:
			open = false
		case <-b.wake:
			time.Sleep(flushDelay) // gathers lines; nobody waits for this goroutine
		}
		b.mu.Lock()
		lines := b.pending
		b.pending = nil
		b.mu.Unlock()
		if dropped := b.dropped.Load(); dropped != told {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			told = dropped
		}
		b.writeAll(lines)
	}
}

// writeAll writes in pieces that a pipe takes as a whole. A reader that is slow
// for a while gets the rest later; meanwhile new lines wait in the buffer.
func (b *AsyncWriter) writeAll(lines []byte) {
	for len(lines) > 0 {
		n, err := b.out.Write(lines[:min(len(lines), pipePiece)])
		lines = lines[n:]
		if err == nil {
			continue
		}
		select {
		case <-b.stop:
			// There is nowhere to report that the log can't be written.
			return
		case <-time.After(flushDelay):
		}
	}
}
