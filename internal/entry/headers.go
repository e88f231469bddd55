package entry

import (
	"net"
	"net/http"
	"strings"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Headers of the callers' and endpoints' interface.
const (
	headerOutcome        = "Pistachio-Outcome"     // on each answer: done, not-run or unknown
	headerRequestID      = "Pistachio-Request-Id"  // random for each request; sent to the endpoint and the caller
	headerDeadline       = "Pistachio-Deadline-Ms" // milliseconds that the caller waits
	headerClass          = "Pistachio-Class"       // urgent, normal or bulk; at most the route's urgency
	headerCaller         = "Pistachio-Caller"      // who shares fairly with others; default: the remote host
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHopHeaders lists the headers that concern one connection only.
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

// removeHopByHopHeaders drops the hop-by-hop headers and those that Connection names.
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

// hideIdempotencyKey spells the idempotency headers in a way that net/http's Transport
// does not look for: with the canonical spelling it would send the request
// again by itself on a broken connection.
func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{headerIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// outcomeName returns the outcome as callers read it.
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
