package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

func TestSilentAddressLeavesConnectionsWithoutAResponse(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	open := dial(t, r)
	_, err := echo(open, "before", testTimeout)
	is.NoErr(err)
	r.SetFault(relay.Fault{Silent: true})
	_, err = echo(open, "lost", dropWait)
	is.True(isTimeout(err))
	held := dial(t, r) // is accepted
	_, err = echo(held, "lost", dropWait)
	is.True(isTimeout(err))
	is.Equal(r.OpenConnections(), 1) // nothing was dialed for the held one

	r.SetFault(relay.Fault{})
	is.NoErr(held.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = held.Read(make([]byte, 1))
	is.True(err != nil && !isTimeout(err)) // closed
	response, err := echo(dial(t, r), "again", testTimeout)
	is.NoErr(err)
	is.Equal(response, "again\n")
}

func TestCloseEndsHeldConnections(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	r.SetFault(relay.Fault{Silent: true})
	_, err := echo(dial(t, r), "lost", dropWait)
	is.True(isTimeout(err))
	r.Close() // returns
}

func TestFaultOfOneSourceSparesTheOthers(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	sources := make(chan string, 2)
	r.Identify(func(net.Addr) string { return <-sources })
	r.SetFaults(func(source string) relay.Fault { return relay.Fault{DropToTarget: source == "cut"} })
	sources <- "cut"
	_, err := echo(dial(t, r), "lost", dropWait)
	is.True(isTimeout(err))
	sources <- "other"
	response, err := echo(dial(t, r), "hello", testTimeout)
	is.NoErr(err)
	is.Equal(response, "hello\n")
}

func TestBandwidthIsSharedByAllConnections(t *testing.T) {
	const rate, bytes = 100_000, 20_000 // bytes per second, bytes in each direction
	is := is.New(t)
	r := startRelay(t)
	r.SetFault(relay.Fault{BytesPerSecond: rate})
	began := time.Now()
	done := make(chan error)
	for range 2 {
		connection := dial(t, r)
		go func() {
			if _, err := connection.Write(make([]byte, bytes)); err != nil {
				done <- err
				return
			}
			_, err := io.ReadFull(connection, make([]byte, bytes))
			done <- err
		}()
	}
	for range 2 {
		is.NoErr(<-done)
	}
	is.True(time.Since(began) >= 2*bytes*time.Second/rate)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
