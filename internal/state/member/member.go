// Package member defines the records of entry processes and VMs in the
// replicated state, and the commands that change them.
package member

// State tells whether callers are directed to a member.
type State string

const (
	// Live members are included in address answers to callers.
	Live State = "live"
	// Leaving members are no longer included in address answers; they
	// complete the requests they have and stop.
	Leaving State = "leaving"
)

// Member is one entry process.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation identifies one run of the process; each start gets a new
	// one.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint" json:"zone"`
	// CallerAddress is the IP:port at which callers reach the process.
	CallerAddress string `cbor:"4,keyasint" json:"caller_address"`
	State         State  `cbor:"5,keyasint" json:"state"`
}

// Register is a command that adds a starting member or replaces an earlier
// incarnation of it.
type Register struct {
	Member Member `cbor:"1,keyasint"`
	// Replaces is the incarnation that the member found under its name before
	// it registered, or zero if there was none. A delayed registration is
	// refused, because another incarnation is then stored under the name.
	Replaces uint64 `cbor:"2,keyasint"`
}

// Retire is a command that marks a member as leaving, or removes it.
type Retire struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone removes the member instead of marking it as leaving.
	Gone bool `cbor:"3,keyasint"`
}

// Result is the result of a Register or Retire.
type Result struct {
	Accepted bool `cbor:"1,keyasint"`
	// Current is the member stored under the name after the command, or the
	// zero value if there is none.
	Current Member `cbor:"2,keyasint"`
}
