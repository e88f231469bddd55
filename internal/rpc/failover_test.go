package rpc_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fake/closedport"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// lookupFunc serves lookups with a function.
type lookupFunc struct {
	apiv1.Claims
	respond func(ctx context.Context, key string) (*apiv1.LookupResponse, error)
	calls   atomic.Int64
}

func (l *lookupFunc) Lookup(ctx context.Context, request *apiv1.LookupRequest) (*apiv1.LookupResponse, error) {
	l.calls.Add(1)
	return l.respond(ctx, request.GetKey())
}

// silentListener accepts connections and never responds.
type silentListener struct {
	net.Listener
	accepted atomic.Int64
}

// listenSilently starts a silentListener, which is closed at the end of the test.
func listenSilently(t *testing.T) *silentListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := &silentListener{Listener: listener}
	var connections []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			silent.accepted.Add(1)
			connections = append(connections, connection)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		for _, connection := range connections {
			_ = connection.Close()
		}
	})
	return silent
}

func TestClientIgnoresAHintAtALeaderThatJustFailed(t *testing.T) {
	is := is.New(t)
	const refusals = 10 // until the follower is elected
	dead := listenSilently(t)
	deadAddress := dead.Addr().String()
	follower := &lookupFunc{}
	follower.respond = func(context.Context, string) (*apiv1.LookupResponse, error) {
		if follower.calls.Load() <= refusals {
			return nil, rpc.NotLeader(deadAddress)
		}
		return &apiv1.LookupResponse{Found: true}, nil
	}
	client := rpc.NewClient(rpc.Options{
		Addresses:      []string{deadAddress, serve(t, apiv1.NewClaimsServer(follower))},
		AttemptTimeout: 200 * time.Millisecond,
		RetryBackoff:   time.Millisecond,
	})
	defer client.Close()
	response, err := lookup(client, 30*time.Second)
	is.NoErr(err)
	is.True(response.GetFound())
	is.True(dead.accepted.Load() < refusals/2) // most hints were ignored
}

func TestConnectionsAreNotReusedAfterATimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	service := &lookupFunc{respond: func(ctx context.Context, key string) (*apiv1.LookupResponse, error) {
		switch key {
		case "slow":
			started <- struct{}{}
			<-release
		case "stuck":
			<-ctx.Done()
		}
		return &apiv1.LookupResponse{}, nil
	}}
	var mu sync.Mutex
	var remotes []string
	inner := apiv1.NewClaimsServer(service)
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes = append(remotes, r.RemoteAddr)
		mu.Unlock()
		inner.ServeHTTP(w, r)
	}))
	client := rpc.NewClient(rpc.Options{Addresses: []string{address}})
	defer client.Close()

	slow := make(chan error, 1)
	go func() {
		ctx := rpc.WithAttemptTimeout(context.Background(), 30*time.Second)
		_, err := client.Claims().Lookup(ctx, &apiv1.LookupRequest{Key: "slow"})
		slow <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Claims().Lookup(ctx, &apiv1.LookupRequest{Key: "stuck"})
	is.True(err != nil)
	_, err = lookup(client, 30*time.Second) // the address is used again
	is.NoErr(err)
	close(release)
	is.NoErr(<-slow)
	_, err = lookup(client, 30*time.Second)
	is.NoErr(err)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(remotes), 4)
	is.True(remotes[3] != remotes[0]) // the slow call's connection
	is.True(remotes[3] != remotes[1]) // the stuck call's connection
}

func TestShortDeadlineDoesNotMakeTheLeaderSuspect(t *testing.T) {
	is := is.New(t)
	leader := &lookupFunc{respond: func(ctx context.Context, key string) (*apiv1.LookupResponse, error) {
		if key == "stuck" {
			<-ctx.Done()
		}
		return &apiv1.LookupResponse{}, nil
	}}
	address := serve(t, apiv1.NewClaimsServer(leader))
	client := rpc.NewClient(rpc.Options{Addresses: []string{address}, AttemptTimeout: time.Minute})
	defer client.Close()
	_, err := lookup(client, 30*time.Second)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Claims().Lookup(ctx, &apiv1.LookupRequest{Key: "stuck"})
	is.True(rpc.IsUnreachable(err))
	is.Equal(client.Leader(), address)
}

func TestTooLargeResponseIsNotRetried(t *testing.T) {
	is := is.New(t)
	service := &lookupFunc{respond: func(context.Context, string) (*apiv1.LookupResponse, error) {
		return &apiv1.LookupResponse{State: &apiv1.ClaimState{RequestDigest: make([]byte, 2000)}}, nil
	}}
	client := rpc.NewClient(rpc.Options{Addresses: []string{serve(t, apiv1.NewClaimsServer(service))}, MaxResponseBytes: 1000})
	defer client.Close()
	_, err := lookup(client, 30*time.Second)
	is.True(err != nil)
	is.Equal(service.calls.Load(), int64(1))
}

func TestCallWithoutADeadlineTimesOut(t *testing.T) {
	is := is.New(t)
	client := rpc.NewClient(rpc.Options{
		Addresses:   []string{serve(t, apiv1.NewClaimsServer(&fakeClaims{}))},
		CallTimeout: 100 * time.Millisecond,
	})
	defer client.Close()
	_, err := client.Claims().Lookup(context.Background(), &apiv1.LookupRequest{Key: "k"})
	is.True(rpc.IsUnreachable(err))
}

func TestFailuresAreClassified(t *testing.T) {
	respondingWith := func(err error) *lookupFunc {
		return &lookupFunc{respond: func(context.Context, string) (*apiv1.LookupResponse, error) { return nil, err }}
	}
	cases := []struct {
		name        string
		address     string
		unreachable bool
		refused     bool
	}{
		{"nothing listens", closedport.Address(t), true, false},
		{"no leader", serve(t, apiv1.NewClaimsServer(&fakeClaims{})), true, false},
		{"invalid argument", serve(t, apiv1.NewClaimsServer(respondingWith(twirp.InvalidArgumentError("key", "empty")))), false, true},
		{"failed precondition", serve(t, apiv1.NewClaimsServer(respondingWith(twirp.NewError(twirp.FailedPrecondition, "no")))), false, true},
		{"internal error", serve(t, apiv1.NewClaimsServer(respondingWith(twirp.InternalError("broken")))), false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := rpc.NewClient(rpc.Options{Addresses: []string{c.address}})
			defer client.Close()
			_, err := lookup(client, time.Second)
			is.True(err != nil)
			is.Equal(rpc.IsUnreachable(err), c.unreachable)
			is.Equal(rpc.IsRefused(err), c.refused)
		})
	}
}
