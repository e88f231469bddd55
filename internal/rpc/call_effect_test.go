package rpc_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// deaf returns an address at which nothing listens.
func deaf(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	return address
}

func submitAt(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	client := rpc.NewClient(rpc.Options{Addresses: []string{address}, AttemptTimeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Jobs().Submit(ctx, &apiv1.SubmitJobRequest{})
	return err
}

// Only a call that reached no process, or was refused by each as not leading,
// is said to have had no effect.
func TestFateOfACallThatFailed(t *testing.T) {
	refusing := func(unclear bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			meta := `{"leader":""}`
			if unclear {
				meta = `{"leader":"","unclear":"true"}`
			}
			_, _ = w.Write([]byte(`{"code":"unavailable","msg":"no","meta":` + meta + `}`))
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then is the end of the connection noticed
		<-r.Context().Done()
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		notDone bool
	}{
		{"nothing listens", nil, true},
		{"it does not lead", refusing(false), true},
		{"it lost the leadership while it worked on the call", refusing(true), false},
		{"it does not answer", silent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := deaf(t)
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				t.Cleanup(server.Close)
				address = server.Listener.Addr().String()
			}
			err := submitAt(address)
			is.True(err != nil)
			is.Equal(errors.Is(err, rpc.ErrNoEffect), c.notDone)
		})
	}
}

// A connection that can't be made in time is no sent call.
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
