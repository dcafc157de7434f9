package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is the unit of durability: a header followed by a batch of records,
// each prefixed with its length as a uvarint. A crash can damage only the frames
// of the last write, because each write is synced before the next one.
const (
	frameMagic = 0x4c53_5746
	// Byte offsets of the fields in the frame header.
	lengthOffset     = 4
	sequenceOffset   = 8
	checksumOffset   = 16
	frameHeaderBytes = 20
	maxFrameBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errBadFrame means that the bytes are not a complete frame with a valid checksum
// and the expected sequence number.
var errBadFrame = errors.New("wal: invalid frame")

// ErrBatchTooLarge means that a batch of records exceeds the largest frame that
// can be read. Nothing of it was written.
var ErrBatchTooLarge = errors.New("wal: batch of records too large")

// frame is a decoded frame.
type frame struct {
	sequence uint64
	payload  []byte
	// size is the length of the frame in bytes, including the header.
	size int
}

// appendFrame appends the encoding of a frame to out.
func appendFrame(out []byte, sequence uint64, records [][]byte) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint32(out, frameMagic)
	out = binary.BigEndian.AppendUint32(out, 0)
	out = binary.BigEndian.AppendUint64(out, sequence)
	out = binary.BigEndian.AppendUint32(out, 0)
	for _, r := range records {
		out = binary.AppendUvarint(out, uint64(len(r)))
		out = append(out, r...)
	}
	header, payload := out[start:start+frameHeaderBytes], out[start+frameHeaderBytes:]
	binary.BigEndian.PutUint32(header[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[checksumOffset:], checksum(header, payload))
	return out
}

// checksum returns the CRC-32C of a frame's length, sequence and payload.
func checksum(header, payload []byte) uint32 {
	sum := crc32.Checksum(header[lengthOffset:checksumOffset], castagnoli)
	return crc32.Update(sum, castagnoli, payload)
}

// decodeFrame decodes the frame at the start of b. The payload shares memory with
// b.
func decodeFrame(b []byte) (frame, error) {
	if len(b) < frameHeaderBytes || binary.BigEndian.Uint32(b) != frameMagic {
		return frame{}, errBadFrame
	}
	length := int(binary.BigEndian.Uint32(b[lengthOffset:]))
	if length > maxFrameBytes || length > len(b)-frameHeaderBytes {
		return frame{}, errBadFrame
	}
	payload := b[frameHeaderBytes : frameHeaderBytes+length]
	if binary.BigEndian.Uint32(b[checksumOffset:]) != checksum(b, payload) {
		return frame{}, errBadFrame
	}
	return frame{
		sequence: binary.BigEndian.Uint64(b[sequenceOffset:]),
		payload:  payload,
		size:     frameHeaderBytes + length,
	}, nil
}

// records splits the payload of a frame into its records.
func (f frame) records() ([][]byte, error) {
	var out [][]byte
	rest := f.payload
	for len(rest) > 0 {
		length, n := binary.Uvarint(rest)
		if n <= 0 || length > uint64(len(rest)-n) {
			return nil, errBadFrame
		}
		rest = rest[n:]
		out = append(out, rest[:length])
		rest = rest[length:]
	}
	return out, nil
}

// hasFrameAfter reports whether b contains, after its first byte, a valid frame
// whose sequence is at least minSequence. If so, the bytes before that frame had
// been synced, and a crash can't have torn them.
func hasFrameAfter(b []byte, minSequence uint64) bool {
	for at := 1; at+frameHeaderBytes <= len(b); at++ {
		if b[at] != frameMagic>>24 {
			continue
		}
		if f, err := decodeFrame(b[at:]); err == nil && f.sequence >= minSequence {
			return true
		}
	}
	return false
}
