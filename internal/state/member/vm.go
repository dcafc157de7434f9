package member

// VM is the record of a VM that was observed as leaving, or of a later run of
// such a VM. Other VMs have no record.
type VM struct {
	// Incarnation is the platform's number for this run of the VM. A later
	// run has a higher number.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is never reset for the same incarnation.
	Leaving bool `json:"leaving"`
}

// Observation is the state of one VM in the platform's list of VMs.
type Observation struct {
	// Address is the VM's IP address.
	Address     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Leaving     bool   `cbor:"3,keyasint"`
}

// Observe returns the record after an observation and whether it changed. The
// platform's list may lag and flap: once observed, leaving holds for the rest
// of the incarnation, and observations of earlier incarnations are ignored.
// The zero VM stands for a VM without a record.
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
