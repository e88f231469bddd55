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

// leader answers as control does, or fails.
type leader struct {
	calls int
	err   error
}

func (l *leader) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	l.calls++
	return &apiv1.AnnounceResponse{Revision: 7, LeaseMs: 4000}, l.err
}

func (l *leader) Renew(context.Context, *apiv1.RenewEndpointRequest) (*apiv1.RenewEndpointResponse, error) {
	l.calls++
	return &apiv1.RenewEndpointResponse{Known: true, LeaseMs: 4000}, l.err
}

func (l *leader) Withdraw(context.Context, *apiv1.WithdrawRequest) (*apiv1.WithdrawResponse, error) {
	l.calls++
	return &apiv1.WithdrawResponse{Revision: 8, QuietAfterMs: 4000}, l.err
}

const (
	announce = "Announce"
	good     = `{"endpoint":{"id":"e1","service":"dispatch","address":"10.0.0.7:8080","slots":8,"connections":64,` +
		`"location":{"region":"sur","failure_domain":"sur-montevideo"}}}`
	jsonKind = "application/json"
)

func TestHandler(t *testing.T) {
	without := func(part, with string) string { return strings.Replace(good, part, with, 1) }
	down := twirp.NewError(twirp.Internal, "connection refused")
	cases := []struct {
		name, method, call, kind, body string
		err                            error
		status                         int
		text                           string // in the answer
	}{
		{"announcement", "POST", announce, jsonKind, good, nil, 200, `"lease_ms"`},
		{"renewal", "POST", "Renew", jsonKind, `{"id":"e1"}`, nil, 200, `"known":true`},
		{"withdrawal", "POST", "Withdraw", jsonKind, `{"id":"e1"}`, nil, 200, `"quiet_after_ms"`},
		{"charset", "POST", announce, "application/json; charset=utf-8", good, nil, 200, `"lease_ms"`},
		{"bad JSON", "POST", announce, jsonKind, `{"endpoint":`, nil, 400, "malformed"},
		{"not an object", "POST", announce, jsonKind, `[1]`, nil, 400, "malformed"},
		{"wrong content type", "POST", announce, "text/plain", good, nil, 415, "Content-Type"},
		{"no content type", "POST", announce, "", good, nil, 415, "Content-Type"},
		{"wrong method", "GET", announce, jsonKind, "", nil, 405, "POST"},
		{"unknown call", "POST", "Shout", jsonKind, "{}", nil, 404, "bad_route"},
		{"huge body", "POST", announce, jsonKind, strings.Repeat("x", 70_000), nil, 413, "65536"},
		{"no endpoint", "POST", announce, jsonKind, `{}`, nil, 400, "endpoint"},
		{"no service", "POST", announce, jsonKind, without(`"dispatch"`, `""`), nil, 400, "endpoint.service"},
		{"host name", "POST", announce, jsonKind, without("10.0.0.7", "host"), nil, 400, "endpoint.address"},
		{"no port", "POST", announce, jsonKind, without(":8080", ""), nil, 400, "endpoint.address"},
		{"no slots", "POST", announce, jsonKind, without(`"slots":8`, `"slots":0`), nil, 400, "endpoint.slots"},
		{"too few connections", "POST", announce, jsonKind, without(`64`, `7`), nil, 400, "endpoint.connections"},
		{"no region", "POST", announce, jsonKind, without(`"sur"`, `""`), nil, 400, "endpoint.location"},
		{"no id", "POST", "Withdraw", jsonKind, `{}`, nil, 400, "id"},
		{"control away", "POST", "Renew", jsonKind, `{"id":"e1"}`, down, 503, "try again"},
		{"refused by control", "POST", "Renew", jsonKind, `{"id":"e1"}`, twirp.NotFoundError("no such service"), 404, "no such service"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := &leader{err: test.err}
			request := httptest.NewRequest(test.method, apiv1.DiscoveryPathPrefix+test.call, strings.NewReader(test.body))
			if test.kind != "" {
				request.Header.Set("Content-Type", test.kind)
			}
			recorder := httptest.NewRecorder()
			discovery.NewHandler(l).ServeHTTP(recorder, request)
			is.Equal(recorder.Code, test.status)
			is.True(strings.Contains(recorder.Body.String(), test.text))
			is.Equal(l.calls > 0, test.status == 200 || test.err != nil) // only checked calls reach the leader
		})
	}
}

// A body without a stated length is cut off at the bound.
func TestEndlessAnnouncement(t *testing.T) {
	is := is.New(t)
	body := &endless{}
	request := httptest.NewRequest(http.MethodPost, apiv1.DiscoveryPathPrefix+announce, body)
	request.Header.Set("Content-Type", jsonKind)
	recorder := httptest.NewRecorder()
	discovery.NewHandler(&leader{}).ServeHTTP(recorder, request)
	is.True(recorder.Code >= 400 && recorder.Code < 500)
	is.True(body.read < 1<<20)
}

type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	if e.read > 1<<24 {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}
