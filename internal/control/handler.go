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

// Bounds of a call.
const (
	callTimeout      = 5 * time.Second
	longCallTimeout  = maxForceWait + callTimeout
	maxBodyBytes     = 1 << 20
	maxLargeBody     = 4 << 20 // publications and claims
	maxRenewalBody   = 4 << 20 // an entry's holds
	healthPath       = "/healthz"
	readyPath        = "/readyz"
	plainContentType = "text/plain; charset=utf-8"
)

// callBounds limits the calls of one service or method.
type callBounds struct {
	timeout time.Duration
	body    int64 // bytes
}

// Handler returns all services of a control process, but for the one between
// the members of the log.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	ordinary := callBounds{timeout: callTimeout, body: maxBodyBytes}
	s.mount(mux, apiv1.NewControlServer(controlService{s}), callBounds{timeout: longCallTimeout, body: maxLargeBody})
	s.mount(mux, apiv1.NewEntryLinkServer(entryLink{s}), callBounds{timeout: callTimeout, body: maxRenewalBody})
	s.mount(mux, apiv1.NewClaimsServer(claimsService{s}), callBounds{timeout: callTimeout, body: maxLargeBody})
	s.mount(mux, apiv1.NewDiscoveryServer(discovery{s}), ordinary)
	s.mount(mux, apiv1.NewPlatformServer(platformService{s}), callBounds{timeout: callTimeout, body: maxRenewalBody})
	s.mount(mux, apiv1.NewFormationServer(formation{s}), ordinary)
	if s.Dispatch != nil {
		s.mount(mux, apiv1.NewJobsServer(jobsService{s}), callBounds{timeout: callTimeout, body: maxLargeBody})
	}
	mux.HandleFunc(healthPath, s.serveHealth)
	mux.HandleFunc(readyPath, s.serveReady)
	return mux
}

// mount adds a service under its path, each call bounded in time and size.
func (s *Server) mount(mux *http.ServeMux, service apiv1.TwirpServer, bounds callBounds) {
	name := serviceName(service)
	mux.HandleFunc(service.PathPrefix(), func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), bounds.timeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, bounds.body)
		s.count(name, r)
		if refusal := rpc.CheckCall(r, bounds.body); refusal != nil {
			refusal.Write(w)
			return
		}
		service.ServeHTTP(w, r)
	})
}

// serveHealth answers as long as the process serves at all.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	answerText(w, http.StatusOK, "ok")
}

// serveReady tells whether this process belongs to a cluster that has a leader.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := s.Log.Status()
	switch {
	case status.ClusterID == "":
		answerText(w, http.StatusServiceUnavailable, "this process belongs to no cluster")
	case status.Leader == 0:
		answerText(w, http.StatusServiceUnavailable, "no leader is known")
	default:
		answerText(w, http.StatusOK, "ok")
	}
}

func answerText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", plainContentType)
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// count counts calls by service and method.
func (s *Server) count(service string, r *http.Request) {
	method := path.Base(r.URL.Path)
	if !knownMethods[method] {
		method = "other"
	}
	counter(s.Metrics, "control.calls."+service+"."+strings.ToLower(method)).Inc(1)
}

// serviceName returns a service's name as metrics show it.
func serviceName(service apiv1.TwirpServer) string {
	name := path.Base(service.PathPrefix())
	return strings.ToLower(strings.TrimPrefix(name, "pistachioport.v1."))
}
