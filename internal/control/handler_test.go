package control_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/replica"
)

func TestBadCallsAreRefused(t *testing.T) {
	r := newRig(t)
	r.becomeLeader()
	cases := []struct {
		name        string
		path        string
		contentType string
		body        io.Reader
		status      int
	}{
		{"wrong content type", "/twirp/pistachioport.v1.Discovery/Announce", "text/plain", strings.NewReader("{}"), http.StatusUnsupportedMediaType},
		{"no JSON", "/twirp/pistachioport.v1.Discovery/Announce", "application/json", strings.NewReader("{"), http.StatusBadRequest},
		{"unknown method", "/twirp/pistachioport.v1.Discovery/Remove", "application/json", strings.NewReader("{}"), http.StatusNotFound},
		{"no protobuf", "/twirp/pistachioport.v1.Control/Publish", "application/protobuf", bytes.NewReader([]byte{0xff, 0xff}), http.StatusBadRequest},
		{"huge announcement", "/twirp/pistachioport.v1.Discovery/Announce", "application/json", strings.NewReader(`{"endpoint":{"id":"` + strings.Repeat("x", 2<<20) + `"}}`), http.StatusRequestEntityTooLarge},
		{"huge publication", "/twirp/pistachioport.v1.Control/Publish", "application/protobuf", bytes.NewReader(make([]byte, 8<<20)), http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, err := http.Post(r.url+c.path, c.contentType, c.body)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, c.status)
		})
	}
}

func TestHealthAndReadiness(t *testing.T) {
	r := newRig(t)
	is := is.New(t)
	status := func(path string) int {
		response, err := http.Get(r.url + path)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	is.Equal(status("/healthz"), http.StatusOK)
	is.Equal(status("/readyz"), http.StatusServiceUnavailable) // no leader
	r.log.becomeFollower()
	is.Equal(status("/readyz"), http.StatusOK)
	r.log.update(func() { r.log.status = replica.Status{} })
	is.Equal(status("/readyz"), http.StatusServiceUnavailable) // no cluster
	is.Equal(status("/healthz"), http.StatusOK)
}
