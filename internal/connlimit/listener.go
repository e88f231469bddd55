package connlimit

import (
	"container/list"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// refusalFormat answers a connection beyond the limit before its request is read, so
	// the request certainly had no effect. Its argument is in seconds.
	refusalFormat = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout bounds the time to send it to a client that doesn't read.
	refusalTimeout = 50 * time.Millisecond
	// fullLogInterval is the minimum time between two log lines about a full listener.
	fullLogInterval = 10 * time.Second
)

// Listener bounds the open connections of an HTTP server. A connection beyond the limit
// takes the place of the oldest one that has not sent a request yet, or else of the one
// that has been idle longest; if there is neither, it is refused. A flood of silent
// connections thus ends none that is in use. None is ended before the server has looked
// for its request, and with reservations none is refused before the requests of those in use
// have told which of them are reserved; new ones wait meanwhile. Set ConnState as the server's callback of the
// same name, and ConnContext as well if some connections are reserved.
type Listener struct {
	net.Listener
	name   string
	logger *slog.Logger

	open             metrics.Gauge
	evicted, refused metrics.Counter

	mu          sync.Mutex
	limits      Limits
	connections map[net.Conn]connection
	counts      [kinds]int
	// Of *trackedConn, oldest first: without a request yet; between requests, by kind.
	fresh      *list.List
	idle       [kinds]*list.List
	changed    chan struct{} // receives an element when a connection has left fresh, became idle or ended
	fullLogged time.Time
}

// kind tells connections apart by their first request.
type kind int

const (
	kindUnknown kind = iota
	kindOther
	kindReserved
	kinds
)

// connection is the kind of a connection, its place in one of the lists, and since when; list and element are nil while
// a request is in progress.
type connection struct {
	kind    kind
	list    *list.List
	element *list.Element
	since   time.Time
}

// NewListener returns a listener that wraps inner. The metrics are named after the kind of
// connection.
func NewListener(inner net.Listener, name string, limit int, logger *slog.Logger, registry metrics.Registry) *Listener {
	l := &Listener{
		Listener: inner, name: name, limits: Limits{Connections: limit}, logger: logger,
		open:        metrics.GetOrRegisterGauge("connections."+name+".open", registry),
		evicted:     metrics.GetOrRegisterCounter("connections."+name+".evicted", registry),
		refused:     metrics.GetOrRegisterCounter("connections."+name+".refused", registry),
		connections: make(map[net.Conn]connection), fresh: list.New(), changed: make(chan struct{}, 1),
	}
	for kind := range l.idle {
		l.idle[kind] = list.New()
	}
	return l
}

// Accept returns the next connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := newTrackedConn(inner)
		evicted, ok := l.awaitAdmission(conn)
		for _, other := range evicted {
			_ = other.Close()
		}
		if ok {
			return conn, nil
		}
		refuse(conn, l.retryAfter())
	}
}

const (
	// silence is the time that the server waits for a request before a connection counts as silent.
	silence = 5 * time.Millisecond
	// maxPlaceWait bounds the wait for the server to look for the requests of connections.
	maxPlaceWait = time.Second
)

// awaitAdmission registers a new connection like admit, once it is settled whether there is a place for it.
func (l *Listener) awaitAdmission(conn net.Conn) (evicted []net.Conn, ok bool) {
	for deadline := time.Now().Add(maxPlaceWait); ; {
		evicted, result := l.admit(conn, time.Now().Before(deadline))
		if result != admissionPending {
			return evicted, result == admissionGranted
		}
		timer := time.NewTimer(silence)
		select {
		case <-l.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isPlacePending reports whether the limit is reached and the server may not have seen the request of the oldest connection
// without one. With reservations it also does while all connections are in use: as their kinds together have a place less
// than the limit, the kind of one is not known yet, and one of those becomes idle or is refused its request and closed.
// The caller holds the lock.
func (l *Listener) isPlacePending(now time.Time) bool {
	if len(l.connections) < l.limits.Connections {
		return false
	}
	if l.fresh.Len() > 0 {
		return !l.fresh.Front().Value.(*trackedConn).isSilent(now)
	}
	return l.limits.Reserved > 0 && l.victim(now) == nil
}

// admission is the result of an attempt to register a new connection.
type admission int

const (
	admissionGranted admission = iota
	admissionRefused
	admissionPending // it is not settled yet
)

// maxEvictedPerAdmission bounds the connections that are closed for a new one. More than one lets their number fall
// after the limit was lowered.
const maxEvictedPerAdmission = 2

// admit registers a new connection. If the limit is reached, it returns others to close instead, or refuses if none may be
// closed. It decides in any case unless it may wait.
func (l *Listener) admit(conn net.Conn, mayWait bool) (evicted []net.Conn, result admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if mayWait && l.isPlacePending(now) {
		return nil, admissionPending
	}
	for len(l.connections) >= l.limits.Connections && len(evicted) < maxEvictedPerAdmission {
		l.logFull()
		victim := l.victim(now)
		if victim == nil {
			break
		}
		l.evict(victim)
		evicted = append(evicted, victim)
	}
	if len(l.connections) >= l.limits.Connections && len(evicted) == 0 {
		l.refused.Inc(1)
		return nil, admissionRefused
	}
	l.counts[kindUnknown]++
	l.connections[conn] = connection{kindUnknown, l.fresh, l.fresh.PushBack(conn), now}
	l.open.Update(int64(len(l.connections)))
	return evicted, admissionGranted
}

// victim returns the connection to close for a new one; nil: none may be closed. The caller holds the lock.
func (l *Listener) victim(now time.Time) net.Conn {
	if conn := l.oldest(l.fresh, now, 0); conn != nil {
		return conn
	}
	if conn := l.oldest(l.idle[kindUnknown], now, l.limits.KeepUsed); conn != nil {
		return conn
	}
	return l.oldest(l.idle[kindOther], now, l.limits.KeepUsed)
}

// evict forgets a connection that the caller closes. The caller holds the lock.
func (l *Listener) evict(conn net.Conn) {
	l.remove(conn)
	l.evicted.Inc(1)
}

// maxSkipped bounds the connections that oldest passes over.
const maxSkipped = 16

// oldest returns the first connection of a list from which no request has arrived, if it has been there for at least the
// given time. The caller holds the lock.
func (l *Listener) oldest(from *list.List, now time.Time, age time.Duration) net.Conn {
	element := from.Front()
	for range maxSkipped {
		if element == nil {
			return nil
		}
		conn := element.Value.(*trackedConn)
		if now.Sub(l.connections[conn].since) < age {
			return nil
		}
		if conn.isWaiting() {
			return conn
		}
		element = element.Next()
	}
	return nil
}

// logFull logs that the limit is reached. The caller holds the lock.
func (l *Listener) logFull() {
	if now := time.Now(); now.Sub(l.fullLogged) >= fullLogInterval {
		l.fullLogged = now
		l.logger.Warn("connection limit reached", "kind", l.name, "limit", l.limits.Connections, "without_request", l.fresh.Len(),
			"idle", l.idle[kindUnknown].Len()+l.idle[kindOther].Len(), "reserved", l.counts[kindReserved],
			"evicted", l.evicted.Count(), "refused", l.refused.Count())
	}
}

// ConnState records a change of a connection's state.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, known := l.connections[conn]
	if !known {
		return // evicted or hijacked before
	}
	switch state {
	case http.StateActive:
		l.unlist(conn)
		l.connections[conn] = connection{kind: place.kind}
	case http.StateIdle:
		l.unlist(conn)
		idle := l.idle[place.kind]
		l.connections[conn] = connection{place.kind, idle, idle.PushBack(conn), time.Now()}
		l.signalChange()
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// unlist takes a connection off its list, if it is on one. The caller holds the lock.
func (l *Listener) unlist(conn net.Conn) {
	place := l.connections[conn]
	if place.list == nil {
		return
	}
	place.list.Remove(place.element)
	if place.list == l.fresh {
		l.signalChange()
	}
}

// signalChange wakes awaitAdmission.
func (l *Listener) signalChange() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// remove forgets a connection. The caller holds the lock.
func (l *Listener) remove(conn net.Conn) {
	l.unlist(conn)
	l.counts[l.connections[conn].kind]--
	delete(l.connections, conn)
	l.open.Update(int64(len(l.connections)))
	l.signalChange()
}

// refuse answers that the server is overloaded, and closes the connection.
func refuse(conn net.Conn, retryAfter int) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The client may have gone; it is refused either way.
	_, _ = fmt.Fprintf(conn, refusalFormat, retryAfter)
	_ = conn.Close()
}
