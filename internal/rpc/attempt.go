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

// errResponseTooLarge is not retried: another process would answer the same.
var errResponseTooLarge = errors.New("the answer is too large")

type attemptTimeoutKey struct{}

// WithAttemptTimeout sets the time that one attempt may take, for calls that
// wait on the server's side.
func WithAttemptTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, attemptTimeoutKey{}, timeout)
}

func (c *Client) attemptTimeout(ctx context.Context) time.Duration {
	if timeout, ok := ctx.Value(attemptTimeoutKey{}).(time.Duration); ok {
		return timeout
	}
	return c.options.AttemptTimeout
}

// answer is a response whose body was read whole.
type answer struct {
	response *http.Response
	body     []byte
}

// attempt makes one try at one address. If it fails, no connection of before
// is used again: one that is silent keeps its place in the pool otherwise.
func (c *Client) attempt(request *http.Request, body []byte, address string) (answer, error) {
	timeout := c.attemptTimeout(request.Context())
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	pool := c.pools.get(address)
	begin := time.Now()
	result, err := c.exchange(ctx, pool, request, body, address)
	if err == nil || errors.Is(err, errResponseTooLarge) {
		return result, err
	}
	if !errors.Is(err, context.Canceled) {
		c.pools.retire(address, pool)
	}
	// A caller who had little time left says nothing about the process.
	if request.Context().Err() == nil || time.Since(begin) >= timeout/2 {
		c.directory.failed(address)
	}
	return result, err
}

func (c *Client) exchange(
	ctx context.Context, pool *http.Transport, request *http.Request, body []byte, address string,
) (answer, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	try := request.Clone(ctx)
	try.URL.Host = c.options.dialAddress(address)
	try.Host = address
	try.Body = io.NopCloser(bytes.NewReader(body))
	try.GetBody = nil
	try.ContentLength = int64(len(body))
	response, err := pool.RoundTrip(try)
	if err != nil && !connected {
		return answer{}, errors.Mark(errors.Wrapf(err, "connect to %s", address), errNothingSent)
	}
	if err != nil {
		return answer{}, errors.Wrapf(err, "call %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	if err != nil {
		return answer{}, errors.Wrapf(err, "read answer of %s", address)
	}
	if int64(len(content)) > c.options.MaxResponseBytes {
		return answer{}, errors.Wrapf(errResponseTooLarge, "answer of %s is longer than %d bytes", address, c.options.MaxResponseBytes)
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return answer{response: response, body: content}, nil
}
