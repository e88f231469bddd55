package rpc_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/closedport"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// submitAt submits a job to the process at the address.
func submitAt(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	client := rpc.NewClient(rpc.Options{Addresses: []string{address}, AttemptTimeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Jobs().Submit(ctx, &apiv1.SubmitJobRequest{})
	return err
}

// A failed call is marked with ErrNoEffect only if no process received it, or those that
// did refused it as not the leader.
func TestFailedCallsWithoutEffectAreMarked(t *testing.T) {
	refusing := func(mayHaveEffect bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			meta := `{"leader":""}`
			if mayHaveEffect {
				meta = `{"leader":"","unclear":"true"}`
			}
			_, _ = w.Write([]byte(`{"code":"unavailable","msg":"no","meta":` + meta + `}`))
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body was read
		<-r.Context().Done()
	}
	cases := []struct {
		name     string
		handler  http.HandlerFunc
		noEffect bool
	}{
		{"nothing listens", nil, true},
		{"not the leader", refusing(false), true},
		{"lost the leadership during the call", refusing(true), false},
		{"no response", silent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := closedport.Address(t)
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				t.Cleanup(server.Close)
				address = server.Listener.Addr().String()
			}
			err := submitAt(address)
			is.True(err != nil)
			is.Equal(errors.Is(err, rpc.ErrNoEffect), c.noEffect)
		})
	}
}

// A call whose connection could not be made in time was not sent.
func TestUnfinishedDialSendsNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	client := rpc.NewClient(rpc.Options{
		Addresses: []string{"127.0.0.1:1"}, AttemptTimeout: time.Nanosecond,
	})
	defer client.Close()
	_, err := client.Jobs().Submit(ctx, &apiv1.SubmitJobRequest{})
	is.True(errors.Is(err, rpc.ErrNoEffect))
}
