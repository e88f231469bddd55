package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/balance"
)

var (
	errEndpointChanged = errors.New("the endpoint has left or moved")
	errWrongRequestID  = errors.New("the answer carries another request's id")
)

// exchange is one send of a request to one endpoint and the response to it. It
// is used by one goroutine.
type exchange struct {
	call     *call
	slot     *balance.Slot
	upstream *upstream
	start    time.Time
	cancel   context.CancelFunc

	conn          *connection
	writtenBefore int64 // bytes written on the connection before this request
	response      *http.Response
	bodyPrefix    []byte // first bytes of the response body
	bodyComplete  bool   // bodyPrefix is the complete body
}

// exchange sends the request to the slot's endpoint and reads the header and the
// first bytes of the response. The returned exchange is never nil, and must be
// closed also after an error.
func (s *Server) exchange(ctx context.Context, c *call, slot *balance.Slot, b *body) (*exchange, error) {
	x := &exchange{call: c, slot: slot, start: time.Now(), cancel: func() {}}
	if x.upstream = s.upstreams.get(slot); x.upstream == nil {
		return x, errEndpointChanged
	}
	if c.crashes.suspect {
		// One more break counts against the request, so it must not be that of a
		// connection that had gone stale.
		x.upstream.closeIdle()
	}
	ctx, x.cancel = context.WithCancel(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	response, err := x.upstream.transport.RoundTrip(x.newRequest(ctx, b)) //nolint:bodyclose // close does
	if err != nil {
		return x, errors.Wrapf(err, "send to endpoint %q", slot.ID)
	}
	x.response = response
	if echoed := response.Header.Get(headerRequestID); echoed != "" && echoed != c.id {
		return x, errors.Wrapf(errWrongRequestID, "endpoint %q", slot.ID)
	}
	return x, x.readBodyPrefix(s.limits.MaxBufferedResponseBytes)
}

// newRequest builds the request to send. It has a body without GetBody, and its
// header hides the idempotency key, so that the Transport never sends it twice.
func (x *exchange) newRequest(ctx context.Context, b *body) *http.Request {
	r := x.call.r
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     x.upstream.address,
			Path:     r.URL.Path,
			RawPath:  r.URL.RawPath,
			RawQuery: r.URL.RawQuery,
		},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Host:          r.Host,
		Header:        endpointHeader(r, x.call.id),
		Body:          b.newReader(),
		ContentLength: b.length,
		Trailer:       b.trailer,
	}
	x.setFraming(out, b)
	return out.WithContext(ctx)
}

// setFraming sets how the length of the body is transmitted. A Transport given a
// body of unknown type and length 0 would use chunked encoding, which some
// servers don't expect.
func (x *exchange) setFraming(out *http.Request, b *body) {
	if b.buffered && len(b.data) == 0 && methodExpectsBody(out.Method) {
		out.Body = http.NoBody
	}
	if !b.buffered && x.call.r.Header.Get("Expect") != "" {
		out.Header.Set("Expect", "100-continue")
	}
	if len(b.trailer) > 0 {
		out.ContentLength = -1
	}
}

func methodExpectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// gotConn records the connection on which the request is sent.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	x.conn = conn
	x.writtenBefore = conn.bytesWritten.Load()
}

// nothingSent reports whether it is certain that no byte of the request was sent
// to the endpoint. It must be called only after the exchange has failed.
func (x *exchange) nothingSent() bool {
	return x.conn == nil || x.conn.bytesWritten.Load() == x.writtenBefore
}

// brokenByEndpoint reports whether the endpoint closed the connection while the
// request was under way, which it isn't once there is a complete response. It must
// be called only after the exchange has failed.
func (x *exchange) brokenByEndpoint() bool {
	return !x.bodyComplete && !x.nothingSent() && x.conn.broken.Load()
}

// readBodyPrefix reads the first bytes of the response body, so that a small
// response is complete before any of it is sent to the caller.
func (x *exchange) readBodyPrefix(limit int) error {
	if isEventStream(x.response) || x.response.ContentLength > int64(limit) {
		return nil
	}
	bodyPrefix, err := io.ReadAll(io.LimitReader(x.response.Body, int64(limit)+1))
	if err != nil {
		return errors.Wrapf(err, "read response of endpoint %q", x.slot.ID)
	}
	x.bodyPrefix = bodyPrefix
	x.bodyComplete = len(bodyPrefix) <= limit
	return nil
}

func isEventStream(response *http.Response) bool {
	return response.Header.Get("Content-Type") == "text/event-stream"
}

// close ends the exchange. If the response was not read to its end, its
// connection is closed.
func (x *exchange) close() {
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	x.cancel()
}
