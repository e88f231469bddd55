package relay

import (
	"net"
	"sync"
	"time"
)

const bufferSize = 32 << 10 // bytes

// direction is one of a connection's two.
type direction int

const (
	toTarget direction = iota
	toClient
)

// link is one relayed connection.
type link struct {
	client net.Conn
	target net.Conn

	mu       sync.Mutex
	fault    Fault
	silenced bool
}

func newLink(client, target net.Conn) *link {
	return &link{client: client, target: target}
}

func (l *link) setFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

func (l *link) silenceForGood() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenced = true
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

func (l *link) swallows(d direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d == toTarget {
		return l.silenced || l.fault.DropToTarget
	}
	return l.silenced || l.fault.DropToClient
}

func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault.Delay
}

// run copies both ways until both have ended.
func (l *link) run(count func(direction, int, bool)) {
	var group sync.WaitGroup
	group.Go(func() { l.pump(toTarget, l.client, l.target, count) })
	group.Go(func() { l.pump(toClient, l.target, l.client, count) })
	group.Wait()
	l.close()
}

// pump copies one direction. A swallowed direction hides the end of the stream
// too, so that the other side notices nothing.
func (l *link) pump(d direction, from, to net.Conn, count func(direction, int, bool)) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		swallowed := l.swallows(d)
		if n > 0 {
			count(d, n, swallowed)
		}
		if pause := l.delay(); n > 0 && pause > 0 {
			time.Sleep(pause)
		}
		if n > 0 && !swallowed {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.close()
				return
			}
		}
		if err == nil {
			continue
		}
		if !l.swallows(d) {
			l.closeWrite(to)
		}
		return
	}
}

// closeWrite passes on the end of one direction and leaves the other open.
func (l *link) closeWrite(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
