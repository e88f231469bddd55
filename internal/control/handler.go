package control

import (
	"context"
	"net/http"
	"path"
	"strings"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// Limits of a call, and paths.
const (
	callTimeout         = 5 * time.Second
	longCallTimeout     = maxAwaitForceWait + callTimeout
	maxBodyBytes        = 1 << 20
	maxLargeBodyBytes   = 4 << 20 // publications and claims
	maxRenewalBodyBytes = 4 << 20 // renewals, which carry an entry's holds
	healthPath          = "/healthz"
	readyPath           = "/readyz"
	plainContentType    = "text/plain; charset=utf-8"
)

// callLimits limits the calls of one service.
type callLimits struct {
	timeout   time.Duration
	bodyBytes int64
}

// Handler returns the handler of all services of a control process, except the one
// by which the members of the replicated log call each other.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	ordinary := callLimits{timeout: callTimeout, bodyBytes: maxBodyBytes}
	s.mount(mux, apiv1.NewControlServer(controlService{s}), callLimits{timeout: longCallTimeout, bodyBytes: maxLargeBodyBytes})
	s.mount(mux, apiv1.NewEntryLinkServer(entryLinkService{s}), callLimits{timeout: callTimeout, bodyBytes: maxRenewalBodyBytes})
	s.mount(mux, apiv1.NewClaimsServer(claimsService{s}), callLimits{timeout: callTimeout, bodyBytes: maxLargeBodyBytes})
	s.mount(mux, apiv1.NewDiscoveryServer(discoveryService{s}), ordinary)
	s.mount(mux, apiv1.NewPlatformServer(platformService{s}), callLimits{timeout: callTimeout, bodyBytes: maxRenewalBodyBytes})
	s.mount(mux, apiv1.NewFormationServer(formationService{s}), ordinary)
	if s.Dispatch != nil {
		s.mount(mux, apiv1.NewJobsServer(jobsService{s}), callLimits{timeout: callTimeout, bodyBytes: maxLargeBodyBytes})
	}
	mux.HandleFunc(healthPath, s.serveHealth)
	mux.HandleFunc(readyPath, s.serveReady)
	return mux
}

// mount adds a service under its path, with limits on the time and size of calls.
func (s *Server) mount(mux *http.ServeMux, service apiv1.TwirpServer, bounds callLimits) {
	name := metricServiceName(service)
	mux.HandleFunc(service.PathPrefix(), func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), bounds.timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, bounds.bodyBytes)
		s.countCall(name, r)
		if refusal := rpc.CheckCall(r, bounds.bodyBytes); refusal != nil {
			refusal.Write(w)
			return
		}
		service.ServeHTTP(w, r)
	})
}

// serveHealth answers OK as long as the process serves requests.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

// serveReady answers OK if this process belongs to a cluster with a known leader,
// and 503 otherwise.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := s.Log.Status()
	switch {
	case status.ClusterID == "":
		writeText(w, http.StatusServiceUnavailable, "this process belongs to no cluster")
	case status.Leader == 0:
		writeText(w, http.StatusServiceUnavailable, "no leader is known")
	default:
		writeText(w, http.StatusOK, "ok")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", plainContentType)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// countCall counts a call by service and method.
func (s *Server) countCall(service string, r *http.Request) {
	method := path.Base(r.URL.Path)
	if !countedMethods[method] {
		method = "other"
	}
	counter(s.Metrics, "control.calls."+service+"."+strings.ToLower(method)).Inc(1)
}

// metricServiceName returns a service's name as used in metric names.
func metricServiceName(service apiv1.TwirpServer) string {
	name := path.Base(service.PathPrefix())
	return strings.ToLower(strings.TrimPrefix(name, "pistachioport.v1."))
}
