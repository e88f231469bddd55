package rpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errResponseTooLarge is not retried: every process would return the same response.
var errResponseTooLarge = errors.New("the answer is too large")

type attemptTimeoutKey struct{}

// WithAttemptTimeout overrides Options.AttemptTimeout, for example for calls that wait on
// the server (long polls).
func WithAttemptTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, attemptTimeoutKey{}, timeout)
}

// attemptTimeout returns the time after which other processes are asked as well.
func (c *Client) attemptTimeout(ctx context.Context) time.Duration {
	if timeout, ok := ctx.Value(attemptTimeoutKey{}).(time.Duration); ok {
		return timeout
	}
	return c.options.AttemptTimeout
}

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	response *http.Response
	body     []byte
}

// attempt is one request to one address.
type attempt struct {
	client    *Client
	address   string
	method    string // URL path of the request
	transport *http.Transport
	pool      *http.Transport // that other attempts use, if this one has its own transport
	isPoll    bool            // asks who leads, for all calls of the client
	sentAt    time.Time
	connected atomic.Bool // it may have been sent
	result    bufferedResponse
	err       error
}

// newAttempt returns an attempt over the connections of the address.
func newAttempt(c *Client, address, method string) *attempt {
	return &attempt{
		client: c, address: address, method: method, transport: c.transports.get(address), sentAt: time.Now(),
	}
}

// useOwnConnection makes the attempt use a new connection that it shares with no other.
func (a *attempt) useOwnConnection() {
	a.pool, a.transport = a.transport, a.client.transports.create()
}

// run sends the request and waits for the response or the end of the request's context. If
// the connection fails, none of the address's existing connections is used again: a dead
// one would otherwise stay in the pool. They stay if others have been answered since the
// request was sent: its process is slow then.
func (a *attempt) run(request *http.Request, body []byte) {
	defer a.client.peers.endAttempt(a.address)
	ctx := request.Context()
	a.result, a.err = a.exchange(ctx, request, body)
	responded := a.client.peers.respondedSince(a.address, a.sentAt)
	if a.pool != nil {
		a.endResend(responded)
	}
	if a.err == nil {
		a.client.peers.recordResponse(a.address, a.method, a.sentAt)
	}
	if a.err == nil || errors.IsAny(a.err, errResponseTooLarge, context.Canceled) {
		return
	}
	if responded && errors.Is(a.err, context.DeadlineExceeded) {
		return
	}
	a.client.transports.retire(a.address, a.transport)
	// An attempt that the caller's deadline cut short, before half of its timeout, does
	// not show that the process has failed.
	if ctx.Err() == nil || time.Since(a.sentAt) >= a.client.attemptTimeout(ctx)/2 {
		a.client.directory.markFailed(a.address)
	}
}

// endResend ends an attempt with its own connection. If that was answered before anything
// on the pool's connections, these are dead and it takes their place.
func (a *attempt) endResend(responded bool) {
	a.client.peers.endResend(a.address)
	if a.err != nil || responded || !a.client.transports.replace(a.address, a.pool, a.transport) {
		a.transport.CloseIdleConnections()
	}
}

// exchange sends the request over a pooled connection and reads the complete response.
// An error is marked with errNothingSent if no connection was made.
func (a *attempt) exchange(ctx context.Context, request *http.Request, body []byte) (bufferedResponse, error) {
	options := a.client.options
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	sent := request.Clone(ctx)
	sent.URL.Host = options.dialAddress(a.address)
	sent.Host = a.address
	sent.Body = io.NopCloser(bytes.NewReader(body))
	sent.GetBody = nil
	sent.ContentLength = int64(len(body))
	response, err := a.transport.RoundTrip(sent)
	if err != nil && !a.connected.Load() {
		return bufferedResponse{}, errors.Mark(errors.Wrapf(err, "connect to %s", a.address), errNothingSent)
	}
	if err != nil {
		return bufferedResponse{}, errors.Wrapf(err, "call %s", a.address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, options.MaxResponseBytes+1))
	if err != nil {
		return bufferedResponse{}, errors.Wrapf(err, "read response from %s", a.address)
	}
	if int64(len(content)) > options.MaxResponseBytes {
		return bufferedResponse{}, errors.Wrapf(errResponseTooLarge, "response from %s is longer than %d bytes", a.address, options.MaxResponseBytes)
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return bufferedResponse{response: response, body: content}, nil
}
