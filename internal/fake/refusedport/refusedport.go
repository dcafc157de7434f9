// Package refusedport holds loopback addresses that refuse connections.
package refusedport

import (
	"net"
	"strconv"
	"syscall"
	"testing"
)

// Hold returns an address on loopback that refuses connections until the test ends. The port
// is bound, without a listener: that of a listener that has been closed may be given to
// another listener, of this process or another one, before the test connects to it.
func Hold(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("got address %v, want one of IPv4", bound)
	}
	return net.JoinHostPort(net.IP(address.Addr[:]).String(), strconv.Itoa(address.Port))
}
