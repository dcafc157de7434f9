package address

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// TestOrder checks with random members that only live ones are returned, the
// caller's zone first and within a zone the less loaded first.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byAddress := make(map[string]member.Member)
		var members []member.Member
		loads := make(map[string]int)
		live := 0
		for i := range rapid.IntRange(0, 10).Draw(t, "members") {
			m := member.Member{
				Name:          fmt.Sprint(i),
				CallerAddress: fmt.Sprint(i),
				Zone:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				State:         rapid.SampledFrom([]member.State{member.Live, member.Leaving}).Draw(t, "state"),
			}
			loads[m.Name] = rapid.IntRange(0, 100).Draw(t, "load")
			members, byAddress[m.CallerAddress] = append(members, m), m
			if m.State == member.Live {
				live++
			}
		}
		load := func(name string) (int, bool) { return loads[name], true }
		got := Order(members, "a", load, rapid.Uint64().Draw(t, "spread"))
		rank := func(address string) int {
			m := byAddress[address]
			far := 0
			if m.Zone != "a" {
				far = 1000
			}
			return far + loads[m.Name]/loadBucketSize
		}
		if len(got) != live || !slices.IsSortedFunc(got, func(a, b string) int { return rank(a) - rank(b) }) {
			t.Fatalf("Order of %+v with loads %v = %v, want all live members in order of zone and load", members, loads, got)
		}
		for _, address := range got {
			if byAddress[address].State != member.Live {
				t.Fatalf("got address %s of a leaving entry", address)
			}
		}
	})
}

// TestEqualEntriesShareCallers checks that callers are distributed evenly over
// equally loaded entries.
func TestEqualEntriesShareCallers(t *testing.T) {
	members := []member.Member{{Name: "1", CallerAddress: "1", State: member.Live}, {Name: "2", CallerAddress: "2", State: member.Live}}
	unknown := func(string) (int, bool) { return 0, false }
	first := make(map[string]int)
	for spread := range uint64(10) {
		first[Order(members, "", unknown, spread)[0]]++
	}
	if first["1"] != 5 || first["2"] != 5 {
		t.Errorf("got first addresses %v, want 5 of each", first)
	}
}

// TestShareChangeMovesFewestCustomers checks with two random shares that raising
// a share moves no customer away from the old system.
func TestShareChangeMovesFewestCustomers(t *testing.T) {
	toOldSystem := func(share float64, customer string) bool {
		team := settings.Team{Classes: map[string]settings.Class{"quote": {OldSystemShare: share}}}
		config := &settings.Configuration{Teams: map[string]settings.Team{"desk": team}}
		return ToOldSystem(config, Caller{Team: "desk", Class: "quote", Customer: customer})
	}
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.Float64Range(0, 1).Draw(t, "low")
		high := rapid.Float64Range(low, 1).Draw(t, "high")
		customer := rapid.String().Draw(t, "customer")
		if toOldSystem(low, customer) && !toOldSystem(high, customer) {
			t.Fatalf("customer %q is on the old system at share %v but not at %v", customer, low, high)
		}
		if toOldSystem(0, customer) || !toOldSystem(1, customer) {
			t.Fatalf("customer %q is on the old system at share 0 or not on it at share 1", customer)
		}
	})
}

// TestCustomerShareOverridesClass checks that a customer's share takes
// precedence over that of its class, also for a caller without a team.
func TestCustomerShareOverridesClass(t *testing.T) {
	none := 0.0
	config := &settings.Configuration{Teams: map[string]settings.Team{
		"desk": {
			Classes:   map[string]settings.Class{"quote": {OldSystemShare: 1}},
			Customers: map[string]settings.Customer{"stays": {OldSystemShare: &none}},
		},
	}}
	for caller, want := range map[Caller]bool{
		{Team: "desk", Class: "quote", Customer: "moves"}: true,
		{Team: "desk", Class: "quote", Customer: "stays"}: false,
		{Team: "desk", Class: "other", Customer: "moves"}: false,
		{Customer: "stays"}: false,
		{Customer: "moves"}: false,
	} {
		if got := ToOldSystem(config, caller); got != want {
			t.Errorf("caller %+v: ToOldSystem = %v, want %v", caller, got, want)
		}
	}
}
