package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	maxKeyBytes    = 255
	maxCallerBytes = 255

	// statusClientClosedRequest is nginx's status for a connection that was closed
	// by the caller, which therefore never receives it.
	statusClientClosedRequest = 499
)

// admit checks the request and fills in the call's route, deadline, class,
// caller and key. Each problem that it returns has the outcome "not run".
func (s *Server) admit(c *call) *problem {
	r := c.r
	if hasDotSegment(r.URL.Path) {
		return notRun(http.StatusBadRequest, codeBadRequest, "path %q contains a dot segment", r.URL.Path)
	}
	found, ok := s.view.Load().routes.find(r.URL.Path)
	if !ok {
		return notRun(http.StatusNotFound, codeNoRoute, "no service has a route for path %q", r.URL.Path)
	}
	if !found.allows(r.Method) {
		c.w.Header().Set("Allow", strings.Join(found.GetMethods(), ", "))
		return notRun(http.StatusMethodNotAllowed, codeMethodNotAllowed,
			"route %q does not take method %s", found.GetPathPrefix(), r.Method)
	}
	if r.ContentLength > s.limits.MaxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			"the body has %d bytes; at most %d are taken", r.ContentLength, s.limits.MaxBodyBytes)
	}
	c.route = found
	return s.parseHeaders(c)
}

// parseHeaders sets the call's deadline, class, caller and key.
func (s *Server) parseHeaders(c *call) *problem {
	timeout, refusal := s.timeout(c)
	if refusal != nil {
		return refusal
	}
	c.deadline = c.start.Add(timeout)
	class, refusal := parseClass(c)
	if refusal != nil {
		return refusal
	}
	c.class = class
	c.caller = callerName(c.r)
	if len(c.caller) > maxCallerBytes {
		return notRun(http.StatusBadRequest, codeBadRequest, "header %s is longer than %d bytes", headerCaller, maxCallerBytes)
	}
	return parseKey(c)
}

// timeout returns the timeout of the route, or that of the caller if shorter.
func (s *Server) timeout(c *call) (time.Duration, *problem) {
	timeout := time.Duration(c.route.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = s.limits.DefaultTimeout
	}
	timeout = min(timeout, s.limits.MaxTimeout)
	text := c.r.Header.Get(headerDeadline)
	if text == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, notRun(http.StatusBadRequest, codeBadRequest,
			"header %s is %q, not a positive number of milliseconds", headerDeadline, text)
	}
	if ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return timeout, nil
}

// parseClass returns the class of the route, or that of the caller if less
// urgent.
func parseClass(c *call) (apiv1.Class, *problem) {
	text := c.r.Header.Get(headerClass)
	if text == "" {
		return c.route.class, nil
	}
	value, ok := apiv1.Class_value["CLASS_"+strings.ToUpper(text)]
	if !ok || value == int32(apiv1.Class_CLASS_UNSPECIFIED) {
		return 0, notRun(http.StatusBadRequest, codeBadRequest,
			"header %s is %q; allowed are urgent, normal and bulk", headerClass, text)
	}
	return max(c.route.class, apiv1.Class(value)), nil
}

func parseKey(c *call) *problem {
	values := c.r.Header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return notRun(http.StatusBadRequest, codeBadRequest,
			"header %s must be given once, with 1 to %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	c.key = values[0]
	return nil
}
