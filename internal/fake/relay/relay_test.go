package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

const (
	limit = 30 * time.Second
	quiet = 50 * time.Millisecond // how long a swallowed line is waited for
)

// startEcho answers each line with itself.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T) *relay.Relay {
	t.Helper()
	r, err := relay.Start(context.Background(), startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// echo sends a line and returns what comes back within the time.
func echo(connection net.Conn, line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(connection, line+"\n"); err != nil {
		return "", err
	}
	if err := connection.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	return bufio.NewReader(connection).ReadString('\n')
}

// waitSwallowed returns once the relay has dropped so many bytes.
func waitSwallowed(t *testing.T, r *relay.Relay, want int64) {
	t.Helper()
	deadline := time.After(limit)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for r.Traffic().Dropped < want {
		select {
		case <-deadline:
			t.Fatalf("swallowed %d bytes, want %d", r.Traffic().Dropped, want)
		case <-tick.C:
		}
	}
}

func TestFaithful(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	connection := dial(t, r)
	answer, err := echo(connection, "hello", limit)
	is.NoErr(err)
	is.Equal(answer, "hello\n")
	is.Equal(r.Traffic(), relay.Traffic{ToTarget: 6, ToClient: 6})
	is.Equal(r.OpenConnections(), 1)
}

func TestSwallowing(t *testing.T) {
	for name, c := range map[string]struct {
		fault    relay.Fault
		toTarget int64
	}{
		"to target": {relay.Fault{DropToTarget: true}, 0},
		"to client": {relay.Fault{DropToClient: true}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startRelay(t)
			connection := dial(t, r)
			r.SetFault(c.fault)
			_, err := echo(connection, "lost", quiet)
			is.True(err != nil) // nothing came back, and the connection is open
			is.Equal(r.OpenConnections(), 1)
			waitSwallowed(t, r, 5)
			is.Equal(r.Traffic(), relay.Traffic{ToTarget: c.toTarget, Dropped: 5})

			r.SetFault(relay.Fault{})
			answer, err := echo(connection, "back", limit)
			is.NoErr(err)
			is.Equal(answer, "back\n")
		})
	}
}

func TestOpenConnectionsGoSilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	old := dial(t, r)
	_, err := echo(old, "hello", limit)
	is.NoErr(err)
	r.BlackholeOpen()
	_, err = echo(old, "lost", quiet)
	is.True(err != nil)
	waitSwallowed(t, r, 5)
	r.SetFault(relay.Fault{})
	_, err = echo(old, "lost", quiet)
	is.True(err != nil) // for good
	answer, err := echo(dial(t, r), "new", limit)
	is.NoErr(err)
	is.Equal(answer, "new\n")
}

func TestRefuseAndBreak(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	connection := dial(t, r)
	_, err := echo(connection, "hello", limit)
	is.NoErr(err)
	r.SetFault(relay.Fault{RefuseNew: true})
	_, err = echo(dial(t, r), "refused", limit)
	is.True(err != nil)
	_, err = echo(connection, "open ones go on", limit)
	is.NoErr(err)
	r.CloseConnections()
	_, err = echo(connection, "broken", limit)
	is.True(err != nil)
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
