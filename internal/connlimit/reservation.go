package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// ConnContext makes the connection known to Reserve's handler.
func (l *Listener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Reserve returns a handler that tells connections apart by their first request, if Limits.Reserved is set. Those for
// which isReserved returns true are closed for no other connection. The others have what is not reserved: beyond that, the
// one that has been idle longest is closed, or else refuse answers the request in place of next.
func (l *Listener) Reserve(isReserved func(*http.Request) bool, refuse http.HandlerFunc, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		evicted, ok := l.classify(conn, isReserved(r))
		if evicted != nil {
			_ = evicted.Close()
		}
		if !ok {
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// classify sets the kind of a connection whose first request has arrived. It returns another one to close instead, or
// false if there is no room.
func (l *Listener) classify(conn net.Conn, isReserved bool) (evicted net.Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place, known := l.connections[conn]
	if !known || place.kind != kindUnknown || l.limits.Reserved == 0 {
		return nil, true
	}
	// One place is left to connections whose kind is not known yet.
	if isReserved && l.counts[kindReserved] < l.limits.Reserved-1 {
		l.setKind(conn, kindReserved)
		return nil, true
	}
	if l.counts[kindOther] >= l.limits.Connections-l.limits.Reserved {
		l.logFull()
		evicted = l.oldest(l.idle[kindOther], time.Now(), l.limits.KeepUsed)
		if evicted == nil {
			l.refused.Inc(1)
			return nil, false
		}
		l.evict(evicted)
	}
	l.setKind(conn, kindOther)
	return evicted, true
}

// setKind sets the kind of a connection with a request in progress. The caller holds the lock.
func (l *Listener) setKind(conn net.Conn, kind kind) {
	l.counts[l.connections[conn].kind]--
	l.counts[kind]++
	l.connections[conn] = connection{kind: kind}
}
