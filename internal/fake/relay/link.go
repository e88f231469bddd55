package relay

import (
	"net"
	"sync"
	"time"
)

const bufferSize = 32 << 10 // bytes

// direction is the direction of data on a relayed connection.
type direction int

const (
	toTarget direction = iota
	toClient
)

// link is one relayed connection: the connection of a client and that to the target.
type link struct {
	source string // that dialed the relay
	client net.Conn
	target net.Conn
	pacers *[2]pacer // of the source, by direction

	mu         sync.Mutex
	fault      Fault
	blackholed bool
}

func newLink(source string, client, target net.Conn) *link {
	return &link{source: source, client: client, target: target}
}

func (l *link) setFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// blackhole drops all further data in both directions; setFault doesn't undo it.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = true
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// drops reports whether data in the direction is to be discarded.
func (l *link) drops(d direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d == toTarget {
		return l.blackholed || l.fault.Silent || l.fault.DropToTarget
	}
	return l.blackholed || l.fault.Silent || l.fault.DropToClient
}

// delay returns the time for which the bytes are held before they are forwarded.
func (l *link) delay(d direction, bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault.Delay + l.pacers[d].reserve(time.Now(), bytes, l.fault.BytesPerSecond)
}

// run copies data in both directions until both have ended, and then closes both
// connections.
func (l *link) run(recordTraffic func(direction, int, bool)) {
	var group sync.WaitGroup
	group.Go(func() { l.copyDirection(toTarget, l.client, l.target, recordTraffic) })
	group.Go(func() { l.copyDirection(toClient, l.target, l.client, recordTraffic) })
	group.Wait()
	l.close()
}

// copyDirection copies one direction until it ends. If that direction drops data,
// the end of the stream isn't forwarded either, so that the receiver doesn't notice
// it.
func (l *link) copyDirection(d direction, from, to net.Conn, recordTraffic func(direction, int, bool)) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		dropped := l.drops(d)
		if n > 0 {
			recordTraffic(d, n, dropped)
		}
		if n > 0 && !dropped {
			time.Sleep(l.delay(d, n))
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.close()
				return
			}
		}
		if err == nil {
			continue
		}
		if !l.drops(d) {
			l.closeWrite(to)
		}
		return
	}
}

// closeWrite forwards the end of one direction and leaves the other open.
func (l *link) closeWrite(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
