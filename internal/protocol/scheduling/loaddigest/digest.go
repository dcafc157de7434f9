// Package loaddigest encodes the load of one node's engines for other nodes. No
// process sends digests yet; the encoding exists so that their size can be
// measured.
package loaddigest

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// ErrShort means that an encoded digest is truncated.
var ErrShort = errors.New("loaddigest: too short")

const (
	// tokensPerUnit is the resolution at which prompt tokens are encoded.
	tokensPerUnit = 256
	maxUint16     = 1<<16 - 1
	headerBytes   = 7
	engineBytes   = 5
	acceptingBit  = 1 << 7
)

// Engine is the load of one engine.
type Engine struct {
	Role      settings.Role
	Accepting bool
	Requests  int
	// PromptTokens is the number of prompt tokens not prefilled yet.
	PromptTokens int
}

// Digest is the load of one node's engines, in the order in which the settings
// list them.
type Digest struct {
	// Node is the node's number in the settings. Sequence counts its digests
	// and wraps around.
	Node     uint16
	Sequence uint32
	Engines  []Engine
}

// Encode returns the encoded digest. Counts above the largest encodable value
// are capped; prompt tokens are rounded down to a multiple of tokensPerUnit.
func (d *Digest) Encode() []byte {
	out := make([]byte, 0, headerBytes+engineBytes*len(d.Engines))
	out = binary.BigEndian.AppendUint16(out, d.Node)
	out = binary.BigEndian.AppendUint32(out, d.Sequence)
	out = append(out, byte(len(d.Engines)))
	for _, e := range d.Engines {
		out = append(out, encodeFlags(e))
		out = binary.BigEndian.AppendUint16(out, uint16(min(e.Requests, maxUint16)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(e.PromptTokens/tokensPerUnit, maxUint16)))
	}
	return out
}

// encodeFlags returns the byte with the index of the engine's role and the
// accepting bit. An unknown role is encoded as an index beyond speed.Roles.
func encodeFlags(e Engine) byte {
	out := byte(len(speed.Roles))
	for r, role := range speed.Roles {
		if e.Role == role {
			out = byte(r)
		}
	}
	if e.Accepting {
		out |= acceptingBit
	}
	return out
}

// Decode decodes a digest. Errors match ErrShort.
func Decode(encoded []byte) (*Digest, error) {
	if len(encoded) < headerBytes {
		return nil, fmt.Errorf("decode header of %d bytes: %w", len(encoded), ErrShort)
	}
	d := &Digest{Node: binary.BigEndian.Uint16(encoded), Sequence: binary.BigEndian.Uint32(encoded[2:])}
	engines := int(encoded[headerBytes-1])
	rest := encoded[headerBytes:]
	if len(rest) < engines*engineBytes {
		return nil, fmt.Errorf("decode %d engines of node %d: %w", engines, d.Node, ErrShort)
	}
	for i := range engines {
		d.Engines = append(d.Engines, decodeEngine(rest[i*engineBytes:]))
	}
	return d, nil
}

// decodeEngine decodes the load of one engine; an unknown role becomes mixed.
func decodeEngine(encoded []byte) Engine {
	e := Engine{
		Role:         settings.RoleMixed,
		Accepting:    encoded[0]&acceptingBit != 0,
		Requests:     int(binary.BigEndian.Uint16(encoded[1:])),
		PromptTokens: int(binary.BigEndian.Uint16(encoded[3:])) * tokensPerUnit,
	}
	if role := int(encoded[0] &^ acceptingBit); role < len(speed.Roles) {
		e.Role = speed.Roles[role]
	}
	return e
}
