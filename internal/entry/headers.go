package entry

import (
	"net"
	"net/http"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Headers exchanged with callers and endpoints.
const (
	headerOutcome        = "Pistachio-Outcome"     // on each response: done, not-run or unknown
	headerRequestID      = "Pistachio-Request-Id"  // random for each request; sent to the endpoint and to the caller
	headerDeadline       = "Pistachio-Deadline-Ms" // milliseconds after which the caller stops waiting
	headerClass          = "Pistachio-Class"       // urgent, normal or bulk; not more urgent than the route
	headerCaller         = "Pistachio-Caller"      // name under which queueing is fair; default: the remote host
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders lists the headers that apply to a single connection and are
// not forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those named in
// Connection.
func removeHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// endpointHeader returns the header to send to an endpoint.
func endpointHeader(r *http.Request, id string) http.Header {
	header := r.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Expect")
	header.Del(headerDeadline)
	header.Set(headerRequestID, id)
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	setForwardedHeaders(header, r)
	hideIdempotencyKey(header)
	return header
}

// setForwardedHeaders sets the X-Forwarded headers.
func setForwardedHeaders(header http.Header, r *http.Request) {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		chain := append(header.Values("X-Forwarded-For"), host)
		header.Set("X-Forwarded-For", strings.Join(chain, ", "))
	}
	header.Set("X-Forwarded-Host", r.Host)
	if header.Get("X-Forwarded-Proto") == "" {
		header.Set("X-Forwarded-Proto", "http")
	}
}

// hideIdempotencyKey changes the idempotency headers to lower case, in which
// net/http's Transport does not recognize them: it would retry a request that
// has them in canonical case by itself when a connection breaks.
func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{headerIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// outcomeName returns the outcome as sent to callers.
func outcomeName(outcome apiv1.Outcome) string {
	switch outcome {
	case apiv1.Outcome_OUTCOME_DONE:
		return "done"
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	default:
		return "unknown"
	}
}
