package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

// Bootstrap copies values from the deployment file into the replicated tree,
// so that every replica validates changes against the same values.
type Bootstrap struct {
	// RootTokenSHA256 is the hex SHA-256 of the root operator's token. If it
	// is set and differs from the last one, it replaces the root operator.
	RootTokenSHA256 string `cbor:"1,keyasint"`
	// Zones lists the deployment's availability zones.
	Zones []string `cbor:"2,keyasint"`
}

// NeedsBootstrap reports whether applying b would change the tree.
func (t *Tree) NeedsBootstrap(b Bootstrap) bool {
	return b.RootTokenSHA256 != t.RootTokenSHA256 || !slices.Equal(t.zonesPlusInUse(b.Zones), t.Zones)
}

// Bootstrap executes a committed Bootstrap command.
func (t *Tree) Bootstrap(index uint64, b Bootstrap) {
	t.setVersion(index)
	t.Zones = t.zonesPlusInUse(b.Zones)
	t.current.Zones = t.Zones
	if b.RootTokenSHA256 == "" || b.RootTokenSHA256 == t.RootTokenSHA256 {
		return
	}
	t.RootTokenSHA256 = b.RootTokenSHA256
	root := Operator{TokenSHA256: b.RootTokenSHA256, Subtrees: []string{RootPath}}
	t.writeSubtree(index, Path{Group: OperatorsGroup, Name: RootOperator}, root)
}

// zonesPlusInUse returns the given zones and those that subtrees still use.
func (t *Tree) zonesPlusInUse(zones []string) []string {
	all := make(map[string]bool)
	for _, z := range zones {
		all[z] = true
	}
	for z := range t.current.zonesInUse() {
		all[z] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Register executes a committed Register command.
func (t *Tree) Register(index uint64, r member.Register) member.Result {
	t.setVersion(index)
	current, ok := t.current.Members[r.Member.Name]
	if ok && current.Incarnation == r.Member.Incarnation {
		return member.Result{Accepted: true, Current: current}
	}
	if current.Incarnation != r.Replaces {
		return member.Result{Current: current}
	}
	if r.Member.State != member.Leaving {
		r.Member.State = member.Live
	}
	t.writeSubtree(index, Path{Group: groupMembers, Name: r.Member.Name}, r.Member)
	return member.Result{Accepted: true, Current: r.Member}
}

// Retire executes a committed Retire command.
func (t *Tree) Retire(index uint64, r member.Retire) member.Result {
	t.setVersion(index)
	current, ok := t.current.Members[r.Name]
	if !ok || current.Incarnation != r.Incarnation {
		return member.Result{Current: current}
	}
	p := Path{Group: groupMembers, Name: r.Name}
	if r.Gone {
		t.removeSubtree(index, p)
		return member.Result{Accepted: true}
	}
	if current.State != member.Leaving {
		current.State = member.Leaving
		t.writeSubtree(index, p, current)
	}
	return member.Result{Accepted: true, Current: current}
}

// ObserveVMs executes committed observations from the platform's VM list.
func (t *Tree) ObserveVMs(index uint64, seen []member.Observation) {
	t.setVersion(index)
	for _, o := range seen {
		next, changed := t.current.VMs[o.Address].Observe(o)
		if changed {
			t.writeSubtree(index, Path{Group: groupVMs, Name: o.Address}, next)
		}
	}
}

// ChangedObservations returns the observations that would change the tree.
func (t *Tree) ChangedObservations(seen []member.Observation) []member.Observation {
	var out []member.Observation
	for _, o := range seen {
		if _, changed := t.current.VMs[o.Address].Observe(o); changed {
			out = append(out, o)
		}
	}
	return out
}

// CloseEngine closes an engine to new work for the order with the given ID.
func (t *Tree) CloseEngine(index uint64, engine, order string) {
	t.writeSubtree(index, Path{Group: groupClosed, Name: engine}, ClosedEngine{Order: order})
}

// OpenEngine opens an engine to new work again if CloseEngine closed it.
func (t *Tree) OpenEngine(index uint64, engine string) {
	if _, ok := t.current.ClosedEngines[engine]; ok {
		t.removeSubtree(index, Path{Group: groupClosed, Name: engine})
	}
}

// writeSubtree encodes and stores a subtree that the system itself maintains.
func (t *Tree) writeSubtree(index uint64, p Path, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		// The values are plain structs; failing here is a programming error.
		panic(fmt.Sprintf("settings: encode %s at index %d: %v", p, index, err))
	}
	t.replaceSubtree(index, p, content)
}

func (t *Tree) removeSubtree(index uint64, p Path) {
	t.replaceSubtree(index, p, nil)
}

func (t *Tree) replaceSubtree(index uint64, p Path, content []byte) {
	b := newBuilder(t.current, index)
	if err := b.set(p, content); err != nil {
		panic(fmt.Sprintf("settings: store %s at index %d: %v", p, index, err))
	}
	t.put(index, p.String(), content)
	t.current = b.build()
}
