package entry

import (
	"net"
	"net/http"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// call is one caller's request on its way through the entry.
type call struct {
	id       string // random; also the claim's attempt
	w        http.ResponseWriter
	r        *http.Request
	route    *route
	service  *service
	class    apiv1.Class
	caller   string
	start    time.Time
	deadline time.Time
	key      string // of the caller; empty: none
}

func (c *call) waiter() *waiter {
	return newWaiter(c.class, c.caller, c.deadline, time.Now())
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration {
	return time.Until(c.deadline)
}

// callerName returns who shares fairly with others.
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
