package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/pistachioport/pistachioport/internal/connlimit"
)

const (
	advisorDialTimeout     = 500 * time.Millisecond
	advisorIdleConnTimeout = 30 * time.Second
)

// advisorClientFor returns the HTTP client of the leader's calls to entries, which keeps at most base idle connections,
// or large ones in a large deployment. That has more entries: if they took turns, each call would open a connection.
func advisorClientFor(size *connlimit.Size, base, large int) *http.Client {
	return &http.Client{Transport: sizedTransport{size, advisorHTTPClient(base).Transport, advisorHTTPClient(large).Transport}}
}

// sizedTransport sends requests over one of two transports by the size of the deployment.
type sizedTransport struct {
	size        *connlimit.Size
	base, large http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t sizedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.size.IsLarge() {
		return t.large.RoundTrip(request)
	}
	return t.base.RoundTrip(request)
}

// advisorHTTPClient returns the HTTP client of the leader's calls to entries. It keeps one
// connection to each entry, since the policy service handles the calls of each entry one
// at a time, and at most maxIdle in all.
func advisorHTTPClient(maxIdle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: advisorDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     advisorIdleConnTimeout,
		DisableCompression:  true,
	}}
}
