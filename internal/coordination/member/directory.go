// Package member tracks the entry processes of a deployment. It provides each
// entry with a directory of all entries, and the control leader with a monitor
// that removes dead ones.
package member

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Directory is an entry's view of all entries. It is updated with the settings
// in force, so that the directory of an entry with a lease includes every
// change that was committed more than a lease duration ago. It is safe for
// concurrent use.
type Directory struct {
	members atomic.Pointer[[]member.Member]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.members.Store(&[]member.Member{})
	return d
}

// Configure replaces the members with those in the settings c.
func (d *Directory) Configure(c *settings.Configuration) {
	members := make([]member.Member, 0, len(c.Members))
	for _, name := range slices.Sorted(maps.Keys(c.Members)) {
		members = append(members, c.Members[name])
	}
	d.members.Store(&members)
}

// Members returns all members ordered by name. The caller must not modify the
// slice.
func (d *Directory) Members() []member.Member {
	return *d.members.Load()
}

// Live returns the members that callers may be sent to, ordered by name.
func (d *Directory) Live() []member.Member {
	var live []member.Member
	for _, m := range d.Members() {
		if m.State == member.Live {
			live = append(live, m)
		}
	}
	return live
}
