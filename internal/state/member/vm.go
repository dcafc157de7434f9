package member

import "slices"

// maxPast bounds the earlier incarnations remembered for one VM.
const maxPast = 8

// VM is a VM that was seen leaving. VMs that never left have no record.
type VM struct {
	// Incarnation is the platform's identity of this run of the VM.
	Incarnation string `json:"incarnation"`
	// Leaving is sticky for the incarnation.
	Leaving bool `json:"leaving"`
	// Past holds earlier incarnations, oldest first. The platform's list may
	// still show them.
	Past []string `json:"past,omitempty"`
}

// Observation is one VM in the platform's list.
type Observation struct {
	// Address is the VM's IP address.
	Address     string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint"`
}

// Observe returns the record after an observation of a lagging list that may
// flap. The zero VM stands for a VM without a record.
func (v VM) Observe(o Observation) (next VM, changed bool) {
	switch {
	case v.Incarnation == "" && !o.Leaving:
		return v, false
	case v.Incarnation == "":
		return VM{Incarnation: o.Incarnation, Leaving: true}, true
	case v.Incarnation == o.Incarnation:
		changed = o.Leaving && !v.Leaving
		v.Leaving = v.Leaving || o.Leaving
		return v, changed
	case slices.Contains(v.Past, o.Incarnation):
		return v, false
	}
	past := append(slices.Clone(v.Past), v.Incarnation)
	past = past[max(0, len(past)-maxPast):]
	return VM{Incarnation: o.Incarnation, Leaving: o.Leaving, Past: past}, true
}
