package member

// VM is a VM that was seen leaving. VMs that never left have no record.
type VM struct {
	// Incarnation is the platform's number of this run of the VM. A later
	// run has a higher one.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is sticky for the incarnation.
	Leaving bool `json:"leaving"`
}

// Observation is one VM in the platform's list.
type Observation struct {
	// Address is the VM's IP address.
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint"`
}

// Observe returns the record after an observation of a list that may lag and
// flap: of one incarnation, leaving counts for ever; of two, the later one
// counts. The zero VM stands for a VM without a record.
func (v VM) Observe(o Observation) (next VM, changed bool) {
	switch {
	case v == VM{} && !o.Leaving:
		return v, false
	case o.Incarnation < v.Incarnation:
		return v, false
	case o.Incarnation == v.Incarnation:
		next = VM{Incarnation: v.Incarnation, Leaving: v.Leaving || o.Leaving}
		return next, next != v
	}
	return VM{Incarnation: o.Incarnation, Leaving: o.Leaving}, true
}
