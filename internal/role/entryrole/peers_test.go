package entryrole

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limit"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// TestPeersOrderAddresses shows that a loaded entry is named later, and one
// that does not answer last of its zone.
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
		t.Errorf("order is %s", got)
	}
}

// TestPeersAskFewInTurn shows that a large zone is asked in turn.
func TestPeersAskFewInTurn(t *testing.T) {
	var members []member.Member
	for i := range 41 {
		members = append(members, member.Member{Name: fmt.Sprint(i), Zone: "a", State: member.Live})
	}
	p := &peerLoads{self: "0", zone: "a", members: func() []member.Member { return members }}
	seen := make(map[string]bool)
	for range 10 {
		chosen := p.nextPeers()
		if len(chosen) != peersPerPoll {
			t.Fatalf("%d entries are asked in a round", len(chosen))
		}
		for _, m := range chosen {
			seen[m.Name] = true
		}
	}
	if len(seen) != 40 {
		t.Errorf("%d of 40 entries were asked in ten rounds", len(seen))
	}
}
