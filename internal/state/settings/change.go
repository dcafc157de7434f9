package settings

import (
	"crypto/sha256"
	"encoding/binary"
)

// RulesVersion is the version of the validation rules in this binary. A
// replica that applies a change proposed under newer rules panics, because its
// result could differ from that of other replicas.
const RulesVersion = 1

// Edit replaces or removes one subtree.
type Edit struct {
	// Path is the subtree, such as "teams/desk" or "system".
	Path string `cbor:"1,keyasint" json:"path"`
	// BaseVersion is the version of the subtree that the edit is based on,
	// or zero for a new subtree.
	BaseVersion uint64 `cbor:"2,keyasint" json:"base_version"`
	// Content is the subtree's new content in JSON; empty removes the subtree.
	Content []byte `cbor:"3,keyasint,omitempty" json:"content"`
}

// Change is an operator's change to one or more subtrees. It is atomic: all
// edits are applied or none.
type Change struct {
	// Operator is the operator's name and TokenSHA256 the hex SHA-256 of the
	// token in the request.
	Operator    string `cbor:"1,keyasint"`
	TokenSHA256 string `cbor:"2,keyasint"`
	// Number identifies the change among those of the operator and makes it
	// idempotent: a change resent with the same number and content returns
	// the result of the first execution.
	Number uint64 `cbor:"3,keyasint"`
	// Edits are the subtrees to change.
	Edits []Edit `cbor:"4,keyasint"`
	// AtUnixMilli is the wall-clock time at which the change was received, in
	// Unix milliseconds on the receiving process. Only the history uses it.
	AtUnixMilli int64 `cbor:"5,keyasint"`
	// Rules is the RulesVersion of the process that received the change.
	Rules uint64 `cbor:"6,keyasint"`
}

// Digest is the SHA-256 of the content of a change.
type Digest [sha256.Size]byte

// digest hashes the edits only, so that a change that is resent later or
// received by another process has the same digest.
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

// Outcome is the result code of a change.
type Outcome string

const (
	// Accepted means that the change was applied to the tree.
	Accepted Outcome = "accepted"
	// Conflict means that a subtree changed since its BaseVersion.
	Conflict Outcome = "conflict"
	// NumberTaken means that the operator already used the number for a
	// change with other content.
	NumberTaken Outcome = "number-taken"
	// NumberTooOld means that the number is in the range whose results were
	// evicted, so that it is unknown whether the number was used.
	NumberTooOld Outcome = "number-too-old"
	// Invalid means that the change is malformed or that the tree would be
	// invalid after it.
	Invalid Outcome = "invalid"
	// Denied means that the operator or its token is unknown, or that the
	// operator is not authorized to change one of the subtrees.
	Denied Outcome = "denied"
)

// ChangeResult is the result of a Change. Its size is bounded, because it is
// cached for changes that are resent.
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
	// Winner is the change that first used the number; set for NumberTaken.
	Winner *Winner `cbor:"5,keyasint,omitempty" json:"winner,omitempty"`
}

// Winner describes the change that first used a number.
type Winner struct {
	Outcome Outcome `cbor:"1,keyasint" json:"outcome"`
	// Version is the Version in the ChangeResult of the first change.
	Version uint64 `cbor:"2,keyasint" json:"version"`
	// Path is the first subtree that the first change edits. Edits is its
	// number of edits.
	Path  string `cbor:"3,keyasint" json:"path"`
	Edits int    `cbor:"4,keyasint" json:"edits"`
}
