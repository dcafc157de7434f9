package address

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// shareSteps is the number of steps in which a share may move.
const shareSteps = 1 << 20

// Caller names who asks for addresses; Team and Class may be empty.
type Caller struct {
	Team     string
	Class    string
	Customer string
}

// ToOldSystem reports whether a caller belongs to the old system. A customer
// has a fixed place in the order of moving, the same for all teams, so raising
// or lowering a share moves no more customers than needed, and the same ones
// come back.
func ToOldSystem(c *settings.Configuration, caller Caller) bool {
	position := xxhash.Sum64String(caller.Customer) % shareSteps
	return float64(position) < oldSystemShare(c, caller)*shareSteps
}

// oldSystemShare returns the customer's own oldSystemShare or else its class's. For a caller
// that names no team, the first team that gives the customer a oldSystemShare decides.
func oldSystemShare(c *settings.Configuration, caller Caller) float64 {
	if caller.Team != "" {
		team := c.Teams[caller.Team]
		if own := team.Customers[caller.Customer].OldSystemShare; own != nil {
			return *own
		}
		return team.Classes[caller.Class].OldSystemShare
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if own := c.Teams[name].Customers[caller.Customer].OldSystemShare; own != nil {
			return *own
		}
	}
	return 0
}
