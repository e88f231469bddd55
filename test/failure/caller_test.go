package failure_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Values of the response header Pistachio-Outcome.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// reply is the result of a caller's request.
type reply struct {
	err     error // no complete response
	status  int
	outcome string
	body    string
}

// done reports whether the endpoint's complete response was received.
func (r reply) done() bool {
	return r.err == nil && r.status == http.StatusOK && r.outcome == outcomeDone
}

// caller sends requests to entries over kept-alive connections.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	return &caller{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
		Timeout:   conditionTimeout,
	}}
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

// send sends one request. An empty key sends no Idempotency-Key, and a zero deadline
// no deadline header.
func (c *caller) send(address, method, path, key, body string, deadline time.Duration) reply {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	if deadline > 0 {
		request.Header.Set("Pistachio-Deadline-Ms", milliseconds(deadline))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{
		err:     err,
		status:  response.StatusCode,
		outcome: response.Header.Get("Pistachio-Outcome"),
		body:    string(text),
	}
}

// healthy reports whether an entry's health check passes.
func (c *caller) healthy(address string) bool {
	r := c.send(address, http.MethodGet, "/healthz", "", "", 0)
	return r.err == nil && r.status == http.StatusOK
}
