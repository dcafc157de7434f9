package fakeengine

import (
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

func TestViolationsDetectInjectedFaults(t *testing.T) {
	role := func(id string, fence, term uint64) backend.OrderRequest {
		return backend.OrderRequest{ID: id, Fence: fence, Term: term, Kind: kindRole}
	}
	first := Arrival{Order: role("a", 5, 2), Effect: true, Status: backend.OrderAccepted}
	tests := []struct {
		name   string
		second Arrival
		want   string
	}{
		{"no violation", Arrival{Order: role("b", 6, 2), Effect: true}, ""},
		{"refused old order", Arrival{Order: role("b", 4, 1), Status: backend.OrderFenced}, ""},
		{"conflict", Arrival{Order: role("b", 6, 2), Interrupted: "a"}, "conflicts with a"},
		{"old fencing token", Arrival{Order: role("b", 4, 2), Effect: true}, "old fencing token"},
		{"old term", Arrival{Order: role("b", 6, 1), Effect: true}, "sender of term 1"},
		{"request interrupted", Arrival{Order: role("b", 6, 2), Effect: true, InFlight: 3}, "cut 3 requests"},
		{"not in the order book", Arrival{Order: role("b", 6, 2), Effect: true, Unrecorded: true}, "not in the order book"},
	}
	for _, test := range tests {
		record := Record{Arrivals: []Arrival{first, test.second}}
		found := strings.Join(record.Violations(), "; ")
		if test.want == "" && found != "" || !strings.Contains(found, test.want) {
			t.Errorf("%s: found violations %q, want %q", test.name, found, test.want)
		}
	}
}
