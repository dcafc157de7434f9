// Package member describes the entry processes of a deployment as the
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
