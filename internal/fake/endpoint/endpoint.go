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

// NonceHeader and EndpointHeader are set on every answer: the request's own
// nonce, and which endpoint answered.
const (
	NonceHeader    = "X-Request-Nonce"
	EndpointHeader = "X-Endpoint"
)

const readHeaderTimeout = 10 * time.Second

// Endpoint is a running endpoint.
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

// Start listens, serves and announces the endpoint until Stop or Kill.
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
	e.serving.Go(func() error { return ignoreClosed(e.server.Serve(listener)) })
	e.renewing.Go(func() error { return e.announcer.run(ctx, e.announced) })
	return e, nil
}

// ID returns the name under which the endpoint announces itself.
func (e *Endpoint) ID() string { return e.options.ID }

// Address returns host:port of the endpoint.
func (e *Endpoint) Address() string { return e.address }

// Announced is closed once an entry has accepted the first announcement.
func (e *Endpoint) Announced() <-chan struct{} { return e.announced }

// Record returns what the endpoint has run so far.
func (e *Endpoint) Record() Record { return e.recorder.read() }

// SetBehaviour changes how later requests are answered.
func (e *Endpoint) SetBehaviour(b Behaviour) { e.behaviour.Store(&b) }

// Withdraw says that the endpoint leaves, and goes on serving. It returns the
// time after which no entry sends it new work.
func (e *Endpoint) Withdraw(ctx context.Context) (time.Duration, error) {
	e.cancel()
	_ = e.renewing.Wait() // a renewal in flight must not follow the withdrawal
	return e.announcer.withdraw(ctx)
}

// Stop withdraws the endpoint, keeps serving until no entry may send it new
// work, finishes what is in flight and returns. On an error, or when ctx ends
// first, it closes all connections.
func (e *Endpoint) Stop(ctx context.Context) error {
	quiet, err := e.Withdraw(ctx)
	if err == nil {
		wait(ctx, quiet)
		err = e.server.Shutdown(ctx)
	}
	_ = e.server.Close()
	return errors.CombineErrors(err, e.serving.Wait())
}

// Kill closes everything at once, without a withdrawal.
func (e *Endpoint) Kill() {
	e.cancel()
	_ = e.server.Close()
	_ = e.renewing.Wait()
	_ = e.serving.Wait()
}

func (e *Endpoint) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.recorder.connections(1)
	case http.StateClosed, http.StateHijacked:
		e.recorder.connections(-1)
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// wait returns after the duration or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
