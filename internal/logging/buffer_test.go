package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

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
	buffer := logging.NewBuffer(out)
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
