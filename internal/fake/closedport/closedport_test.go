package closedport_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/fake/closedport"
)

func TestAddressRefusesConnectionsAndStaysTaken(t *testing.T) {
	is := is.New(t)
	address := closedport.Address(t)
	_, err := net.Dial("tcp", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	_, err = net.Listen("tcp", address)
	is.True(errors.Is(err, syscall.EADDRINUSE))
}
