package connlimit

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// refusalText answers a connection beyond the limit before its request is read, so
	// the request certainly had no effect.
	refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout bounds the time to send it to a client that doesn't read.
	refusalTimeout = 50 * time.Millisecond
	// fullLogInterval is the minimum time between two log lines about a full listener.
	fullLogInterval = 10 * time.Second
)

// Listener bounds the open connections of an HTTP server. A connection beyond the limit
// takes the place of the oldest one that has not sent a request yet, or else of the one
// that has been idle longest; if there is neither, it is refused. A flood of silent
// connections thus ends none that is in use. Set ConnState as the server's callback of the
// same name.
type Listener struct {
	net.Listener
	name   string
	limit  int
	logger *slog.Logger

	open             metrics.Gauge
	evicted, refused metrics.Counter

	mu          sync.Mutex
	connections map[net.Conn]connection
	fresh, idle *list.List // of net.Conn, oldest first: without a request yet; between requests
	fullLogged  time.Time
}

// connection is the place of a connection in one of the lists; both are nil while a request
// is in progress.
type connection struct {
	list    *list.List
	element *list.Element
}

// NewListener returns a listener that wraps inner. The metrics are named after the kind of
// connection.
func NewListener(inner net.Listener, name string, limit int, logger *slog.Logger, registry metrics.Registry) *Listener {
	return &Listener{
		Listener: inner, name: name, limit: limit, logger: logger,
		open:        metrics.GetOrRegisterGauge("connections."+name+".open", registry),
		evicted:     metrics.GetOrRegisterCounter("connections."+name+".evicted", registry),
		refused:     metrics.GetOrRegisterCounter("connections."+name+".refused", registry),
		connections: make(map[net.Conn]connection), fresh: list.New(), idle: list.New(),
	}
}

// Accept returns the next connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		evicted, ok := l.admit(conn)
		if evicted != nil {
			_ = evicted.Close()
		}
		if ok {
			return conn, nil
		}
		refuse(conn)
	}
}

// admit registers a new connection. If the limit is reached, it returns one to close
// instead, or false if all are in use.
func (l *Listener) admit(conn net.Conn) (evicted net.Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= l.limit {
		l.logFull()
		victim := l.fresh.Front()
		if victim == nil {
			victim = l.idle.Front()
		}
		if victim == nil {
			l.refused.Inc(1)
			return nil, false
		}
		evicted = victim.Value.(net.Conn)
		l.remove(evicted)
		l.evicted.Inc(1)
	}
	l.connections[conn] = connection{l.fresh, l.fresh.PushBack(conn)}
	l.open.Update(int64(len(l.connections)))
	return evicted, true
}

// logFull logs that the limit is reached. The caller holds the lock.
func (l *Listener) logFull() {
	if now := time.Now(); now.Sub(l.fullLogged) >= fullLogInterval {
		l.fullLogged = now
		l.logger.Warn("connection limit reached", "kind", l.name, "limit", l.limit, "without_request", l.fresh.Len(), "idle", l.idle.Len(),
			"evicted", l.evicted.Count(), "refused", l.refused.Count())
	}
}

// ConnState records a change of a connection's state.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.connections[conn]; !known {
		return // evicted or hijacked before
	}
	switch state {
	case http.StateActive:
		l.unlist(conn)
		l.connections[conn] = connection{}
	case http.StateIdle:
		l.unlist(conn)
		l.connections[conn] = connection{l.idle, l.idle.PushBack(conn)}
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// unlist takes a connection off its list, if it is on one. The caller holds the lock.
func (l *Listener) unlist(conn net.Conn) {
	if place := l.connections[conn]; place.list != nil {
		place.list.Remove(place.element)
	}
}

// remove forgets a connection. The caller holds the lock.
func (l *Listener) remove(conn net.Conn) {
	l.unlist(conn)
	delete(l.connections, conn)
	l.open.Update(int64(len(l.connections)))
}

// refuse answers that the server is overloaded, and closes the connection.
func refuse(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The client may have gone; it is refused either way.
	_, _ = conn.Write([]byte(refusalText))
	_ = conn.Close()
}
