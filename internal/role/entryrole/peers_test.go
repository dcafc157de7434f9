package entryrole

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// TestPeersOrderAddresses checks that more loaded entries are listed later, and
// an entry that does not answer last of its zone.
func TestPeersOrderAddresses(t *testing.T) {
	var members []member.Member
	for i := range 4 {
		members = append(members, member.Member{Name: fmt.Sprint(i), CallerAddress: fmt.Sprint(i), Zone: "a", State: member.Live})
	}
	members = append(members, member.Member{Name: "far", CallerAddress: "far", Zone: "b", State: member.Live})
	p := &peerLoads{
		self: "0", zone: "a", gate: limit.NewGate(1),
		members: func() []member.Member { return members },
		fetchLoad: func(_ context.Context, address string) (int, error) {
			if address == "1" {
				return 0, errors.New("frozen")
			}
			return map[string]int{"2": 300, "3": 100}[address], nil
		},
	}
	p.poll(t.Context())
	if got := strings.Join(address.Order(members, "a", p.load, 0), " "); got != "0 3 2 1 far" {
		t.Errorf("order of addresses = %s, want 0 3 2 1 far", got)
	}
}

// TestPeersPollFewInTurn checks that each poll covers peersPerPoll entries and
// that consecutive polls reach every other entry of a large zone.
func TestPeersPollFewInTurn(t *testing.T) {
	var members []member.Member
	for i := range 41 {
		members = append(members, member.Member{Name: fmt.Sprint(i), Zone: "a", State: member.Live})
	}
	p := &peerLoads{self: "0", zone: "a", members: func() []member.Member { return members }}
	seen := make(map[string]bool)
	for range 10 {
		chosen := p.nextPeers()
		if len(chosen) != peersPerPoll {
			t.Fatalf("%d entries in one poll, want %d", len(chosen), peersPerPoll)
		}
		for _, m := range chosen {
			seen[m.Name] = true
		}
	}
	if len(seen) != 40 {
		t.Errorf("ten polls covered %d entries, want 40", len(seen))
	}
}
