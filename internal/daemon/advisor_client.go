package daemon

import (
	"net"
	"net/http"
	"time"
)

const (
	advisorDialTimeout     = 500 * time.Millisecond
	advisorIdleConnTimeout = 30 * time.Second
)

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
