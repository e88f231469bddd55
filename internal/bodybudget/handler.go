package bodybudget

import (
	"net/http"
	"time"
)

// RetryAfter is when a refused request should be sent again.
const RetryAfter = time.Second

// answerTimeout is the time within which a client must have read enough of the answer for the rest to fit into the
// kernel's buffers: 4 MB, the largest catalog, take 16 s at 2 Mbit/s.
const answerTimeout = 30 * time.Second

// restTimeout is the time for discarding the rest of a body after the answer. It is above a round trip around the world.
const restTimeout = 500 * time.Millisecond

// ReadFactor is the memory for reading a body, in bytes for each of its bytes: a buffer that doubles holds up to
// two of them while it is copied.
const ReadFactor = 2

// Options are those of a handler's requests.
type Options struct {
	// Factor is the memory that the body needs while it is read, in bytes for each of its bytes, and
	// DecodeFactor what ReadAll takes for decoding it afterwards.
	Factor, DecodeFactor int64
	// Limit is the largest body in bytes; 0: as much as the portion can hold.
	Limit int64
	// Refuse answers a request that the budget has ended, in place of the handler; nil: the handler does.
	Refuse func(w http.ResponseWriter, reason string)
}

// Handler returns a handler whose requests take their bodies from the portion. Without a portion it is next.
func (p *Portion) Handler(next http.Handler, o Options) http.Handler {
	if p == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &answerWriter{ResponseWriter: w, refuse: o.Refuse}
		if r.ContentLength == 0 {
			next.ServeHTTP(answer, r)
			return
		}
		b := p.newBody(w, r, o)
		answer.body, r.Body = b, b
		defer b.hold.release()
		next.ServeHTTP(answer, r)
		if !b.complete {
			limitRest(w)
		}
	})
}

// limitRest bounds the time in which the server reads and discards the rest of a body after the answer. If it closed the
// connection at once, the client might not get the answer.
func limitRest(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout)) // fails only if the connection has ended
}

// bodyLimit returns the largest body that the portion takes.
func (p *Portion) bodyLimit(o Options) int64 {
	limit := p.capacity() / (o.Factor + o.DecodeFactor)
	if o.Limit > 0 {
		limit = min(limit, o.Limit)
	}
	return limit
}

// WithoutBody returns a handler whose requests need no body. A connection over which one is sent is closed
// with the answer.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &answerWriter{ResponseWriter: w, closes: r.ContentLength != 0}
		next.ServeHTTP(answer, r)
		if answer.closes {
			limitRest(w)
		}
	})
}
