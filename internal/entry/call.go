package entry

import (
	"net"
	"net/http"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// call holds the state of one caller's request in the entry.
type call struct {
	id       string // random; the request id, and the attempt of its claim
	w        http.ResponseWriter
	r        *http.Request
	route    *route
	service  *service
	class    apiv1.Class
	caller   string // name under which queueing is fair
	start    time.Time
	deadline time.Time
	key      string // the caller's Idempotency-Key; empty: none

	identity string         // digest of the request by which it is recognized when it is sent again; empty: not computed yet
	breaks   int            // sends whose connection the endpoint closed without a complete response
	crashes  crashAdmission // the latest decision on whether the request may be sent
}

func (c *call) waiter() *waiter {
	return newWaiter(c.class, c.caller, c.deadline, time.Now())
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration {
	return time.Until(c.deadline)
}

// callerName returns the name under which the request is queued fairly among
// callers: that of its header, or the remote host.
func callerName(r *http.Request) string {
	if name := r.Header.Get(headerCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
