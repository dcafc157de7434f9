package settings

import (
	"crypto/sha256"
	"encoding/binary"
)

// RulesVersion numbers the validation rules of this binary. A change proposed
// under newer rules can't be judged here, so that a replica stops rather than
// decide otherwise than its peers.
const RulesVersion = 1

// Edit replaces or removes one subtree.
type Edit struct {
	// Path is the subtree, such as "teams/desk" or "system".
	Path string `cbor:"1,keyasint" json:"path"`
	// BaseVersion is the subtree's version that the edit was made against;
	// zero for a new subtree.
	BaseVersion uint64 `cbor:"2,keyasint" json:"base_version"`
	// Content is the subtree's new content in JSON; empty removes it.
	Content []byte `cbor:"3,keyasint,omitempty" json:"content"`
}

// Change is one operator's change of one or more subtrees. It is accepted or
// refused as a whole.
type Change struct {
	// Operator is the name of the operator and TokenSHA256 the hex SHA-256
	// of the token that was presented.
	Operator    string `cbor:"1,keyasint"`
	TokenSHA256 string `cbor:"2,keyasint"`
	// Number identifies the change among the operator's changes. The same
	// number with the same content returns the first answer again.
	Number uint64 `cbor:"3,keyasint"`
	// Edits are the subtrees to change.
	Edits []Edit `cbor:"4,keyasint"`
	// AtUnixMilli is the wall time of the process that took the change, in
	// milliseconds, for the history.
	AtUnixMilli int64 `cbor:"5,keyasint"`
	// Rules is the RulesVersion of the process that took the change.
	Rules uint64 `cbor:"6,keyasint"`
}

// Digest identifies the content of a change.
type Digest [sha256.Size]byte

// digest covers what the operator asked for, not who carried it or when.
func (c *Change) digest() Digest {
	h := sha256.New()
	var length [8]byte
	add := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	for _, e := range c.Edits {
		add([]byte(e.Path))
		add(binary.BigEndian.AppendUint64(nil, e.BaseVersion))
		add(e.Content)
	}
	return Digest(h.Sum(nil))
}

// Outcome tells what became of a change.
type Outcome string

const (
	// Accepted means that the change is part of the tree.
	Accepted Outcome = "accepted"
	// Conflict means that a subtree changed since its BaseVersion.
	Conflict Outcome = "conflict"
	// NumberTaken means that the operator's number was used for other content.
	NumberTaken Outcome = "number-taken"
	// NumberTooOld means that the number lies among those whose answers are
	// no longer kept, so that it can't be told whether it was used.
	NumberTooOld Outcome = "number-too-old"
	// Invalid means that the whole tree would not be valid.
	Invalid Outcome = "invalid"
	// Denied means that the operator may not change one of the subtrees.
	Denied Outcome = "denied"
)

// ChangeResult is the answer to a Change. Its size is bounded, because it is
// kept to be given again.
type ChangeResult struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the version of the changed subtrees after an accepted
	// change, and the current version of the subtree at Path after a
	// conflict.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Path is the subtree or field that a refusal concerns.
	Path string `cbor:"3,keyasint,omitempty" json:"path,omitempty"`
	// Reason explains a refusal.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	// Winner is the change that used the number first.
	Winner *Winner `cbor:"5,keyasint,omitempty" json:"winner,omitempty"`
}

// Winner describes the change that holds a number.
type Winner struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the one in the winner's answer.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Path is the first subtree that the winner edits and Edits how many.
	Path  string `cbor:"3,keyasint" json:"path"`
	Edits int    `cbor:"4,keyasint" json:"edits"`
}
