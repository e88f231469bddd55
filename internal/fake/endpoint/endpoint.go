package endpoint

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Headers of every response: the nonce copied from the request, and the id of the
// endpoint that responded.
const (
	NonceHeader    = "X-Request-Nonce"
	EndpointHeader = "X-Endpoint"
)

const readHeaderTimeout = 10 * time.Second

// Endpoint is a running endpoint. Its methods may be called concurrently, except
// that calls of Withdraw and Stop must not overlap.
type Endpoint struct {
	options   Options
	address   string
	server    *http.Server
	recorder  *recorder
	behaviour atomic.Pointer[Behaviour]
	announcer *announcer
	cancel    context.CancelFunc
	serving   errgroup.Group
	renewing  errgroup.Group
	announced chan struct{}
}

// Start listens, serves and announces the endpoint until Stop or Kill is called.
// Cancelling ctx after Start has returned has no effect.
func Start(ctx context.Context, options Options) (*Endpoint, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", options.Listen)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e := &Endpoint{
		options:   options,
		address:   listener.Addr().String(),
		recorder:  newRecorder(options.ID, options.Service),
		cancel:    cancel,
		announced: make(chan struct{}),
	}
	e.SetBehaviour(options.Behaviour)
	e.announcer = newAnnouncer(options, cmp.Or(options.Advertise, e.address))
	e.server = &http.Server{Handler: e.handler(), ConnState: e.countConnection, ReadHeaderTimeout: readHeaderTimeout}
	e.serving.Go(func() error { return ignoreServerClosed(e.server.Serve(listener)) })
	e.renewing.Go(func() error { return e.announcer.run(ctx, e.announced) })
	return e, nil
}

// ID returns the id under which the endpoint announces itself.
func (e *Endpoint) ID() string { return e.options.ID }

// Address returns the host:port on which the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// Announced is closed once an entry has accepted the first announcement.
func (e *Endpoint) Announced() <-chan struct{} { return e.announced }

// Record returns a copy of the record of the requests received so far.
func (e *Endpoint) Record() Record { return e.recorder.snapshot() }

// SetBehaviour changes how the endpoint responds to later requests.
func (e *Endpoint) SetBehaviour(b Behaviour) { e.behaviour.Store(&b) }

// Withdraw stops renewals and withdraws the endpoint, which continues to serve. It
// returns the time after which no entry sends new requests.
func (e *Endpoint) Withdraw(ctx context.Context) (time.Duration, error) {
	e.cancel()
	_ = e.renewing.Wait() // a renewal must not arrive after the withdrawal
	return e.announcer.withdraw(ctx)
}

// Stop withdraws the endpoint, serves until no entry may send new requests and
// waits for the requests in flight. On an error, or when ctx is done first, it
// closes all connections.
func (e *Endpoint) Stop(ctx context.Context) error {
	drainTime, err := e.Withdraw(ctx)
	if err == nil {
		sleep(ctx, drainTime)
		err = e.server.Shutdown(ctx)
	}
	_ = e.server.Close()
	return errors.CombineErrors(err, e.serving.Wait())
}

// Kill closes the listener and all connections immediately, without withdrawing
// the endpoint.
func (e *Endpoint) Kill() {
	e.cancel()
	_ = e.server.Close()
	_ = e.renewing.Wait()
	_ = e.serving.Wait()
}

func (e *Endpoint) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.recorder.addConnections(1)
	case http.StateClosed, http.StateHijacked:
		e.recorder.addConnections(-1)
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// sleep returns after the duration or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
