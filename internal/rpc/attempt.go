package rpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// errResponseTooLarge is not retried: every process would return the same response.
var errResponseTooLarge = errors.New("the answer is too large")

type attemptTimeoutKey struct{}

// WithAttemptTimeout overrides Options.AttemptTimeout for calls that wait on the server
// (long polls).
func WithAttemptTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, attemptTimeoutKey{}, timeout)
}

// attemptTimeout returns the timeout of one attempt.
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

// attempt sends the request once, to one address. If this fails, none of the address's
// existing connections is used again: a dead one would otherwise stay in the pool.
func (c *Client) attempt(request *http.Request, body []byte, address string) (bufferedResponse, error) {
	timeout := c.attemptTimeout(request.Context())
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	transport := c.transports.get(address)
	start := time.Now()
	result, err := c.exchange(ctx, transport, request, body, address)
	if err == nil || errors.Is(err, errResponseTooLarge) {
		return result, err
	}
	if !errors.Is(err, context.Canceled) {
		c.transports.retire(address, transport)
	}
	// An attempt that the caller's deadline cut short, before half of its timeout, does
	// not show that the process has failed.
	if request.Context().Err() == nil || time.Since(start) >= timeout/2 {
		c.directory.markFailed(address)
	}
	return result, err
}

// exchange sends the request over a pooled connection and reads the complete response.
// An error is marked with errNothingSent if no connection was made.
func (c *Client) exchange(
	ctx context.Context, transport *http.Transport, request *http.Request, body []byte, address string,
) (bufferedResponse, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	attempt := request.Clone(ctx)
	attempt.URL.Host = c.options.dialAddress(address)
	attempt.Host = address
	attempt.Body = io.NopCloser(bytes.NewReader(body))
	attempt.GetBody = nil
	attempt.ContentLength = int64(len(body))
	response, err := transport.RoundTrip(attempt)
	if err != nil && !connected {
		return bufferedResponse{}, errors.Mark(errors.Wrapf(err, "connect to %s", address), errNothingSent)
	}
	if err != nil {
		return bufferedResponse{}, errors.Wrapf(err, "call %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	if err != nil {
		return bufferedResponse{}, errors.Wrapf(err, "read response from %s", address)
	}
	if int64(len(content)) > c.options.MaxResponseBytes {
		return bufferedResponse{}, errors.Wrapf(errResponseTooLarge, "response from %s is longer than %d bytes", address, c.options.MaxResponseBytes)
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return bufferedResponse{response: response, body: content}, nil
}
