package failure_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// silentPort accepts connections at an address whose process is gone, and never responds: callers of a VM without power
// get no refusal.
type silentPort struct {
	listener net.Listener
	group    sync.WaitGroup

	mu     sync.Mutex
	open   []net.Conn
	closed bool
}

func holdPort(t testing.TB, address string) *silentPort {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return nil
	}
	s := &silentPort{listener: listener}
	s.group.Go(s.accept)
	return s
}

func (s *silentPort) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = connection.Close()
		} else {
			s.open = append(s.open, connection)
			s.group.Go(func() { _, _ = io.Copy(io.Discard, connection) })
		}
		s.mu.Unlock()
	}
}

// close frees the address and resets the connections.
func (s *silentPort) close() {
	if s == nil {
		return
	}
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, connection := range s.open {
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}
