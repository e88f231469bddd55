package rpc_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// fakeClaims serves lookups, or refuses them if it is not the leader.
type fakeClaims struct {
	leader   string // named in refusals
	isLeader bool
	calls    atomic.Int64
}

func (c *fakeClaims) Change(context.Context, *apiv1.ClaimBatch) (*apiv1.ClaimBatchResult, error) {
	return &apiv1.ClaimBatchResult{}, nil
}

func (c *fakeClaims) Lookup(context.Context, *apiv1.LookupRequest) (*apiv1.LookupResponse, error) {
	c.calls.Add(1)
	if !c.isLeader {
		return nil, rpc.NotLeader(c.leader)
	}
	return &apiv1.LookupResponse{Found: true}, nil
}

// serve starts a server with the handler and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// lookup makes a call with the given timeout.
func lookup(client *rpc.Client, timeout time.Duration) (*apiv1.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Claims().Lookup(ctx, &apiv1.LookupRequest{Key: "k"})
}

func TestClientFollowsARefusalToTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &fakeClaims{isLeader: true}
	leaderAddress := serve(t, apiv1.NewClaimsServer(leader))
	follower := &fakeClaims{leader: leaderAddress}
	followerAddress := serve(t, apiv1.NewClaimsServer(follower))

	client := rpc.NewClient(rpc.Options{Addresses: []string{followerAddress}})
	defer client.Close()
	for range 3 {
		response, err := lookup(client, 10*time.Second)
		is.NoErr(err)
		is.True(response.GetFound())
	}
	is.Equal(follower.calls.Load(), int64(1)) // later calls go straight to the leader
	is.Equal(leader.calls.Load(), int64(3))
}

func TestClientSkipsASilentProcess(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are accepted into the backlog and get no response
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	address := serve(t, apiv1.NewClaimsServer(&fakeClaims{isLeader: true}))

	client := rpc.NewClient(rpc.Options{
		Addresses:      []string{silent.Addr().String(), address},
		AttemptTimeout: 100 * time.Millisecond,
	})
	defer client.Close()
	response, err := lookup(client, 10*time.Second)
	is.NoErr(err)
	is.True(response.GetFound())
}

func TestClientGivesUpAtTheDeadline(t *testing.T) {
	is := is.New(t)
	address := serve(t, apiv1.NewClaimsServer(&fakeClaims{}))
	client := rpc.NewClient(rpc.Options{Addresses: []string{address}})
	defer client.Close()
	_, err := lookup(client, 200*time.Millisecond)
	is.True(err != nil)
}
