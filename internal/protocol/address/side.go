package address

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// sides is the number of steps in which a share may move.
const sides = 1 << 20

// ToOldSystem reports whether a customer's callers of a class belong to the
// old system. A customer has a fixed place in the order of moving, so raising
// or lowering a share moves no more customers than needed, and the same ones
// come back.
func ToOldSystem(team settings.Team, teamName, className, customer string) bool {
	share := team.Classes[className].OldSystemShare
	if own := team.Customers[customer].OldSystemShare; own != nil {
		share = *own
	}
	place := xxhash.Sum64String(teamName+"\x00"+customer) % sides
	return float64(place) < share*sides
}
