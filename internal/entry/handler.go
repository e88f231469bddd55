package entry

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const healthPath = "/healthz"

// CallerHandler returns the handler for callers: it serves the configured
// routes, and /healthz for the platform's load balancer.
func (s *Server) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(healthPath, s.serveHealth)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			mux.ServeHTTP(w, r)
			return
		}
		s.serveCaller(w, r)
	})
}

// AnnounceHandler returns the handler for endpoints and operators: it serves
// the discovery service, /healthz, /readyz and /metrics.
func (s *Server) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(apiv1.DiscoveryPathPrefix, s.discovery)
	mux.HandleFunc(healthPath, s.serveHealth)
	mux.HandleFunc("/readyz", s.serveHealth)
	if s.config.MetricsHandler != nil {
		mux.Handle("/metrics", s.config.MetricsHandler)
	}
	return mux
}

// serveHealth reports whether the entry accepts requests: 503 while it drains
// or has no lease, else 200.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	switch {
	case s.isDraining():
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining\n"))
	case !s.lease.Valid():
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("no lease\n"))
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// serveCaller answers one caller's request and counts its outcome.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &call{id: uuid.NewString(), w: w, r: r, start: time.Now(), key: r.Header.Get(headerIdempotencyKey)}
	s.metrics.requests.Inc(1)
	closing := s.requestStarted()
	defer s.requestFinished()
	if closing {
		w.Header().Set("Connection", "close")
	}
	s.extendWriteDeadline(http.NewResponseController(w))
	refusal := s.serve(c)
	if refusal == nil {
		return
	}
	if refusal.outcome == apiv1.Outcome_OUTCOME_UNKNOWN {
		s.metrics.unknown.Inc(1)
	} else {
		s.metrics.notRun.Inc(1)
	}
	s.extendWriteDeadline(http.NewResponseController(w))
	refusal.write(w, c.id)
}

// serve forwards the call and writes the response. If it returns a problem,
// nothing was written, and the caller is to be sent the problem.
func (s *Server) serve(c *call) *problem {
	if !s.awaitLease(c.r.Context()) {
		return s.verifyNotRun(c, s.leaseExpiredProblem())
	}
	if refusal := s.admit(c); refusal != nil {
		return s.verifyNotRun(c, refusal)
	}
	s.setReadDeadline(c)
	c.service = s.service(c.route.service)
	if c.route.GetNonIdempotent() {
		return s.serveNonIdempotent(c)
	}
	return s.serveIdempotent(c)
}

// setReadDeadline cuts off callers that send their body too slowly. The
// connection stays half duplex: in full duplex mode, net/http can't tell
// whether the rest of the body or the next request follows an early response.
func (s *Server) setReadDeadline(c *call) {
	if !hasNoBody(c.r) {
		_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline.Add(time.Second))
	}
}

func (s *Server) leaseExpiredProblem() *problem {
	return notRun(http.StatusServiceUnavailable, codeLeaseExpired,
		"entry %q is cut off from control and takes no request", s.config.Name).withRetry(time.Second)
}
