package discovery_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/discovery"
)

// fakeLeader responds as control does, or with the error err.
type fakeLeader struct {
	calls int
	err   error
}

func (l *fakeLeader) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	l.calls++
	return &apiv1.AnnounceResponse{Revision: 7, LeaseMs: 4000}, l.err
}

func (l *fakeLeader) Renew(context.Context, *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	l.calls++
	return &apiv1.RenewEndpointResponse{Known: true, LeaseMs: 4000}, l.err
}

func (l *fakeLeader) Withdraw(context.Context, *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	l.calls++
	return &apiv1.WithdrawResponse{Revision: 8, QuietAfterMs: 4000}, l.err
}

const (
	announceMethod    = "Announce"
	validAnnouncement = `{"endpoint":{"id":"e1","service":"dispatch","address":"10.0.0.7:8080","slots":8,"connections":64,` +
		`"location":{"region":"sur","failure_domain":"sur-montevideo"}}}`
	jsonType = "application/json"
)

func TestHandler(t *testing.T) {
	replace := func(old, replacement string) string { return strings.Replace(validAnnouncement, old, replacement, 1) }
	down := twirp.NewError(twirp.Internal, "connection refused")
	cases := []struct {
		name, method, call, contentType, body string
		err                                   error
		status                                int
		text                                  string // in the response
	}{
		{"announcement", "POST", announceMethod, jsonType, validAnnouncement, nil, 200, `"lease_ms"`},
		{"renewal", "POST", "Renew", jsonType, `{"id":"e1"}`, nil, 200, `"known":true`},
		{"withdrawal", "POST", "Withdraw", jsonType, `{"id":"e1"}`, nil, 200, `"quiet_after_ms"`},
		{"charset", "POST", announceMethod, "application/json; charset=utf-8", validAnnouncement, nil, 200, `"lease_ms"`},
		{"bad JSON", "POST", announceMethod, jsonType, `{"endpoint":`, nil, 400, "malformed"},
		{"not an object", "POST", announceMethod, jsonType, `[1]`, nil, 400, "malformed"},
		{"wrong content type", "POST", announceMethod, "text/plain", validAnnouncement, nil, 415, "Content-Type"},
		{"no content type", "POST", announceMethod, "", validAnnouncement, nil, 415, "Content-Type"},
		{"wrong method", "GET", announceMethod, jsonType, "", nil, 405, "POST"},
		{"unknown call", "POST", "Shout", jsonType, "{}", nil, 404, "bad_route"},
		{"huge body", "POST", announceMethod, jsonType, strings.Repeat("x", 70_000), nil, 413, "65536"},
		{"no endpoint", "POST", announceMethod, jsonType, `{}`, nil, 400, "endpoint"},
		{"no service", "POST", announceMethod, jsonType, replace(`"dispatch"`, `""`), nil, 400, "endpoint.service"},
		{"host name", "POST", announceMethod, jsonType, replace("10.0.0.7", "host"), nil, 400, "endpoint.address"},
		{"no port", "POST", announceMethod, jsonType, replace(":8080", ""), nil, 400, "endpoint.address"},
		{"no slots", "POST", announceMethod, jsonType, replace(`"slots":8`, `"slots":0`), nil, 400, "endpoint.slots"},
		{"too few connections", "POST", announceMethod, jsonType, replace(`64`, `7`), nil, 400, "endpoint.connections"},
		{"no region", "POST", announceMethod, jsonType, replace(`"sur"`, `""`), nil, 400, "endpoint.location"},
		{"no id", "POST", "Withdraw", jsonType, `{}`, nil, 400, "id"},
		{"control unreachable", "POST", "Renew", jsonType, `{"id":"e1"}`, down, 503, "try again"},
		{"refused by control", "POST", "Renew", jsonType, `{"id":"e1"}`, twirp.NotFoundError("no such service"), 404, "no such service"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := &fakeLeader{err: test.err}
			request := httptest.NewRequest(test.method, apiv1.DiscoveryPathPrefix+test.call, strings.NewReader(test.body))
			if test.contentType != "" {
				request.Header.Set("Content-Type", test.contentType)
			}
			recorder := httptest.NewRecorder()
			discovery.NewHandler(l).ServeHTTP(recorder, request)
			is.Equal(recorder.Code, test.status)
			is.True(strings.Contains(recorder.Body.String(), test.text))
			is.Equal(l.calls > 0, test.status == 200 || test.err != nil) // only valid calls reach the leader
		})
	}
}

// A body without a Content-Length is not read far past the limit.
func TestEndlessAnnouncement(t *testing.T) {
	is := is.New(t)
	body := &endlessBody{}
	request := httptest.NewRequest(http.MethodPost, apiv1.DiscoveryPathPrefix+announceMethod, body)
	request.Header.Set("Content-Type", jsonType)
	recorder := httptest.NewRecorder()
	discovery.NewHandler(&fakeLeader{}).ServeHTTP(recorder, request)
	is.True(recorder.Code >= 400 && recorder.Code < 500)
	is.True(body.bytesRead < 1<<20)
}

type endlessBody struct{ bytesRead int }

func (e *endlessBody) Read(p []byte) (int, error) {
	e.bytesRead += len(p)
	if e.bytesRead > 1<<24 {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}
