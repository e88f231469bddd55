package daemon

import (
	"net/http"

	"github.com/pistachioport/pistachioport/internal/settings"
)

// dialOverrideWrapper returns a function that wraps a transport, so that requests
// for a member's advertised address go to its dial address from the settings. It
// returns nil if no member has a dial address.
func dialOverrideWrapper(s *settings.Control) func(http.RoundTripper) http.RoundTripper {
	overrides := make(map[string]string)
	for _, member := range s.Members {
		if member.DialAddress != "" {
			overrides[member.Address] = member.DialAddress
		}
	}
	if len(overrides) == 0 {
		return nil
	}
	return func(next http.RoundTripper) http.RoundTripper {
		return dialOverrideTransport{next: next, overrides: overrides}
	}
}

// dialOverrideTransport sends requests for an overridden address to the address
// that replaces it.
type dialOverrideTransport struct {
	next      http.RoundTripper
	overrides map[string]string // dial addresses by advertised address
}

// RoundTrip implements http.RoundTripper.
func (t dialOverrideTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	address, ok := t.overrides[request.URL.Host]
	if !ok {
		return t.next.RoundTrip(request)
	}
	request = request.Clone(request.Context())
	request.URL.Host = address
	return t.next.RoundTrip(request)
}

// CloseIdleConnections closes the wrapped transport's idle connections.
func (t dialOverrideTransport) CloseIdleConnections() {
	type closer interface{ CloseIdleConnections() }
	if next, ok := t.next.(closer); ok {
		next.CloseIdleConnections()
	}
}
