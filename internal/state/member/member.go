// Package member describes the processes and VMs of a deployment as the
// replicated state keeps them.
package member

// State tells whether a member should get callers.
type State string

const (
	// Live members are given to callers.
	Live State = "live"
	// Leaving members are no longer given to callers; they finish what they
	// have and stop.
	Leaving State = "leaving"
)

// Member is one entry process.
type Member struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation is new at each start of the process.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	Zone        string `cbor:"3,keyasint" json:"zone"`
	// CallerAddress is where callers reach it, as IP:port.
	CallerAddress string `cbor:"4,keyasint" json:"caller_address"`
	State         State  `cbor:"5,keyasint" json:"state"`
}

// Register adds a member that starts, or replaces an earlier incarnation.
type Register struct {
	Member Member `cbor:"1,keyasint"`
	// Replaces is the incarnation that the member read under its name, or
	// zero if there was none. A registration that arrives late is refused,
	// because the table then names another one.
	Replaces uint64 `cbor:"2,keyasint"`
}

// Retire marks a member as leaving, or removes it when it is gone.
type Retire struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone removes the member.
	Gone bool `cbor:"3,keyasint"`
}

// Result is the answer to a Register or Retire.
type Result struct {
	Accepted bool `cbor:"1,keyasint"`
	// Current is the member under the name after the command.
	Current Member `cbor:"2,keyasint"`
}
