package refusedport_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/refusedport"
)

// TestHeldPortRefusesConnections guards against tests of refused connections that reach a
// listener of another test.
func TestHeldPortRefusesConnections(t *testing.T) {
	address := refusedport.Hold(t)
	if conn, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting: got %v, error %v, want a refusal", conn, err)
	}
	if listener, err := net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listening: got %v, error %v, want the address to be in use", listener, err)
	}
}
