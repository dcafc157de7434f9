// Package member keeps track of the entries of a deployment: for entries, a
// directory of all of them; for control, which of them are gone.
package member

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Directory is an entry's view of all entries. It changes with the settings in
// force, so that an entry with a lease misses no change that was committed
// more than a lease duration ago. It is safe for concurrent use.
type Directory struct {
	members atomic.Pointer[[]member.Member]
}

// NewDirectory returns a directory that knows no member.
func NewDirectory() *Directory {
	d := &Directory{}
	d.members.Store(&[]member.Member{})
	return d
}

// Configure takes the members from the settings in force.
func (d *Directory) Configure(c *settings.Configuration) {
	members := make([]member.Member, 0, len(c.Members))
	for _, name := range slices.Sorted(maps.Keys(c.Members)) {
		members = append(members, c.Members[name])
	}
	d.members.Store(&members)
}

// Members returns all members ordered by name. The caller must not change the
// slice.
func (d *Directory) Members() []member.Member {
	return *d.members.Load()
}

// Live returns the members to which callers may be sent, ordered by name.
func (d *Directory) Live() []member.Member {
	var live []member.Member
	for _, m := range d.Members() {
		if m.State == member.Live {
			live = append(live, m)
		}
	}
	return live
}
