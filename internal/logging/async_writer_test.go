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

// stuck is a reader that does not read until it is released.
type stuck struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Writers never wait for a reader that does not read; what is lost is told.
func TestBufferNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	buffer := logging.NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4096 {
		n, err := buffer.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(buffer.Dropped() > 0)
	close(out.release)
	buffer.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.written.String(), "log lines dropped"))
}

// short is a pipe that is full now and then: it takes part of a write.
type short struct {
	mu      sync.Mutex
	written bytes.Buffer
	calls   int
}

func (s *short) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.calls%2 == 1 {
		n, _ := s.written.Write(p[:len(p)/2])
		return n, syscall.EAGAIN
	}
	return s.written.Write(p)
}

// A reader that is slow for a while loses nothing.
func TestBufferWritesTheRestLater(t *testing.T) {
	is := is.New(t)
	out := &short{}
	buffer := logging.NewAsyncWriter(out)
	var want strings.Builder
	for i := range 2000 {
		line := fmt.Sprintf("line %04d\n", i)
		want.WriteString(line)
		_, err := buffer.Write([]byte(line))
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
	buffer.Close()
	is.Equal(len(written()), want.Len())
	is.Equal(written(), want.String())
}
