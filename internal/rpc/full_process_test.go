package rpc_test

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// A process that refuses connections for lack of room is not taken for the leader.
func TestProcessWithoutRoomIsNotTheLeader(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	full := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() {
		_ = full.Serve(connlimit.NewListener(socket, "test", 0, slog.New(slog.DiscardHandler), metrics.NewRegistry()))
	}()
	t.Cleanup(func() { _ = full.Close() })
	alone := rpc.NewClient(rpc.Options{Addresses: []string{socket.Addr().String()}})
	defer alone.Close()
	_, err = lookup(alone, 300*time.Millisecond)
	is.True(errors.Is(err, rpc.ErrUnreachable))
	is.Equal(alone.Leader(), "")
	leader := serve(t, apiv1.NewClaimsServer(&fakeClaims{isLeader: true}))
	const calls = 20
	for range calls {
		client := rpc.NewClient(rpc.Options{Addresses: []string{socket.Addr().String(), leader}})
		_, err := lookup(client, 10*time.Second)
		is.NoErr(err)
		is.Equal(client.Leader(), leader)
		client.Close()
	}
}
