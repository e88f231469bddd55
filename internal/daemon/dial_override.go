package daemon

import (
	"net/http"

	"github.com/pistachioport/pistachioport/internal/settings"
)

// dialOverrideWrapper returns a wrapper for transports that dials other addresses than
// the members advertise, where the settings say so.
func dialOverrideWrapper(s *settings.Control) func(http.RoundTripper) http.RoundTripper {
	dial := make(map[string]string)
	for _, member := range s.Members {
		if member.DialAddress != "" {
			dial[member.Address] = member.DialAddress
		}
	}
	if len(dial) == 0 {
		return nil
	}
	return func(next http.RoundTripper) http.RoundTripper {
		return dialOverrideTransport{next: next, overrides: dial}
	}
}

// dialOverrideTransport sends requests for an advertised address to another one.
type dialOverrideTransport struct {
	next      http.RoundTripper
	overrides map[string]string
}

// RoundTrip implements http.RoundTripper.
func (r dialOverrideTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	address, ok := r.overrides[request.URL.Host]
	if !ok {
		return r.next.RoundTrip(request)
	}
	request = request.Clone(request.Context())
	request.URL.Host = address
	return r.next.RoundTrip(request)
}

// CloseIdleConnections closes the wrapped transport's idle connections.
func (r dialOverrideTransport) CloseIdleConnections() {
	type closer interface{ CloseIdleConnections() }
	if next, ok := r.next.(closer); ok {
		next.CloseIdleConnections()
	}
}
