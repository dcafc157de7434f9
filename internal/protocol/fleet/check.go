package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the names in the description of an engine.
	maxNameBytes = 256
	// maxSlots bounds the requests that one engine processes concurrently.
	maxSlots = 1 << 20
)

// Check returns an error unless a server can be as described, so that requests may
// be sent to it.
func (e Engine) Check() error {
	if e.ID == "" || e.Service == "" {
		return errors.New("id or service missing")
	}
	for _, name := range []string{e.ID, e.Service, e.Zone, e.Version} {
		if !isName(name) {
			return fmt.Errorf("id, service, zone or version is %.64q, want up to %d bytes that can be printed", name, maxNameBytes)
		}
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return fmt.Errorf("address %.64q is not IP:port", e.Address)
	}
	if ip := address.Addr().Unmap(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return fmt.Errorf("address %s is not that of one server", e.Address)
	}
	if e.Slots < 0 || e.Slots > maxSlots {
		return fmt.Errorf("%d slots, want 0 to %d", e.Slots, maxSlots)
	}
	return nil
}

// isName reports whether a text can be a name, which may be empty.
func isName(text string) bool {
	unprintable := func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) }
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, unprintable)
}
