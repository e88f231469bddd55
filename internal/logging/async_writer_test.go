package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/logging"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Write never blocks while the reader is stalled, and dropped lines are reported.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	writer := logging.NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4096 {
		n, err := writer.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(writer.Dropped() > 0)
	close(out.release)
	writer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.written.String(), "log lines dropped"))
}

// partialWriter accepts half of every other write, like a pipe that is sometimes
// full.
type partialWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	calls   int
}

func (s *partialWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls%2 == 1 {
		n, _ := s.written.Write(p[:len(p)/2])
		return n, syscall.EAGAIN
	}
	return s.written.Write(p)
}

// No line is lost if the reader is slow for a while.
func TestAsyncWriterRetriesFailedWrites(t *testing.T) {
	is := is.New(t)
	out := &partialWriter{}
	writer := logging.NewAsyncWriter(out)
	var want strings.Builder
	for i := range 2000 {
		line := fmt.Sprintf("line %04d\n", i)
		want.WriteString(line)
		_, err := writer.Write([]byte(line))
		is.NoErr(err)
	}
	written := func() string {
		out.mu.Lock()
		defer out.mu.Unlock()
		return out.written.String()
	}
	for end := time.Now().Add(10 * time.Second); written() != want.String() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	writer.Close()
	is.Equal(len(written()), want.Len())
	is.Equal(written(), want.String())
}
