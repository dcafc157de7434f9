package raftstore

import (
	"encoding/binary"
	"errors"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
)

// recordType is the first byte of a log record.
type recordType byte

const (
	// recordState holds a raft.HardState: term, vote.
	recordState recordType = iota + 1
	// recordEntry holds a log entry: index, term, kind, data.
	recordEntry
	// recordReset discards the earlier entries, because the log continues
	// after a snapshot: index of the snapshot.
	recordReset
)

var errBadRecord = errors.New("raftstore: invalid log record")

// fieldBytes is the size of an encoded number in a record.
const fieldBytes = 8

func encodeState(s raft.HardState) []byte {
	out := []byte{byte(recordState)}
	out = binary.BigEndian.AppendUint64(out, s.Term)
	return binary.BigEndian.AppendUint64(out, s.Vote)
}

func encodeEntry(e raft.Entry) []byte {
	out := make([]byte, 0, 2+2*fieldBytes+len(e.Data))
	out = append(out, byte(recordEntry))
	out = binary.BigEndian.AppendUint64(out, e.Index)
	out = binary.BigEndian.AppendUint64(out, e.Term)
	out = append(out, byte(e.Kind))
	return append(out, e.Data...)
}

func encodeReset(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(recordReset)}, index)
}

func decodeState(body []byte) (raft.HardState, error) {
	if len(body) != 2*fieldBytes {
		return raft.HardState{}, errBadRecord
	}
	return raft.HardState{
		Term: binary.BigEndian.Uint64(body),
		Vote: binary.BigEndian.Uint64(body[fieldBytes:]),
	}, nil
}

func decodeEntry(body []byte) (raft.Entry, error) {
	if len(body) < 2*fieldBytes+1 {
		return raft.Entry{}, errBadRecord
	}
	return raft.Entry{
		Index: binary.BigEndian.Uint64(body),
		Term:  binary.BigEndian.Uint64(body[fieldBytes:]),
		Kind:  raft.EntryKind(body[2*fieldBytes]),
		Data:  append([]byte(nil), body[2*fieldBytes+1:]...),
	}, nil
}

func decodeReset(body []byte) (uint64, error) {
	if len(body) != fieldBytes {
		return 0, errBadRecord
	}
	return binary.BigEndian.Uint64(body), nil
}
