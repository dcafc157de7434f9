package address

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// shareSteps is the resolution of shares.
const shareSteps = 1 << 20

// Caller identifies who asks for addresses; Team and Class may be empty.
type Caller struct {
	Team     string
	Class    string
	Customer string
}

// ToOldSystem reports whether a caller belongs to the old system. A hash gives
// each customer a fixed position in the migration order, the same for all
// teams. So a change of a share moves no more customers than needed, and
// reverting it moves the same ones back.
func ToOldSystem(c *settings.Configuration, caller Caller) bool {
	position := xxhash.Sum64String(caller.Customer) % shareSteps
	return float64(position) < oldSystemShare(c, caller)*shareSteps
}

// oldSystemShare returns the customer's own share or, without one, that of its
// class. For a caller without a team, the first team by name that sets a share
// for the customer decides.
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
