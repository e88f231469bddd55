package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/bodybudget"
	"github.com/pistachioport/pistachioport/internal/connlimit"
)

// Limits of a listener's connections and of its shutdown.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// requestWriteTimeout is the time from a request's header to the end of its answer. It is above the longest deadline
	// of a caller, 60 s; handlers bound the answer itself more closely.
	requestWriteTimeout = 2 * time.Minute
	// closeTimeout is how long close waits for requests in flight.
	closeTimeout = 5 * time.Second
)

// listener is a listening TCP socket with its HTTP server.
type listener struct {
	socket  net.Listener
	server  *http.Server
	limited *connlimit.Listener // socket, if its connections are bounded; nil otherwise
}

// listen opens a listener at the address. A request must be read completely within
// readTimeout; 0 sets no timeout.
func listen(address string, handler http.Handler, readTimeout time.Duration, logger *slog.Logger) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return newListener(socket, handler, readTimeout, logger), nil
}

func newListener(socket net.Listener, handler http.Handler, readTimeout time.Duration, logger *slog.Logger) *listener {
	return &listener{
		socket: socket,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
		},
	}
}

// listen opens a listener with at most limit connections of the named kind.
func (p *platformProcess) listen(address, kind string, limit int, handler http.Handler) (*listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	headers := bodybudget.NewHeaderListener(socket, p.budgets.headers)
	limited := connlimit.NewListener(headers, kind, limit, p.logger, p.registry)
	l := newListener(limited, handler, requestReadTimeout, p.logger)
	l.server.WriteTimeout = requestWriteTimeout
	l.server.ConnState = func(conn net.Conn, state http.ConnState) {
		headers.ConnState(conn, state)
		limited.ConnState(conn, state)
	}
	l.limited = limited
	return l, nil
}

// serve serves requests until close is called.
func (l *listener) serve() error {
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", l.socket.Addr())
}

// close stops accepting connections and waits up to closeTimeout for requests in
// flight. Then it closes the remaining connections.
func (l *listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
	}
}
