package raftstore

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// entryBytes is the approximate size of a ledger command.
const entryBytes = 200

var batchSizes = []int{1, 16, 256}

func batch(first uint64, n int) []raft.Entry {
	var out []raft.Entry
	for i := range n {
		out = append(out, raft.Entry{Index: first + uint64(i), Term: 1, Kind: raft.KindCommand, Data: make([]byte, entryBytes)})
	}
	return out
}

// BenchmarkSave appends batches of entries to a Store, with one fsync per batch.
func BenchmarkSave(b *testing.B) {
	for _, n := range batchSizes {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			folder, err := disk.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, err := open(folder, testIdentity, DefaultOptions)
			if err != nil {
				b.Fatal(err)
			}
			next := uint64(1)
			for b.Loop() {
				if err := s.Save(nil, batch(next, n)); err != nil {
					b.Fatal(err)
				}
				next += uint64(n)
			}
			b.ReportMetric(float64(next)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkBolt stores the same batches in bbolt, with one transaction per
// batch.
func BenchmarkBolt(b *testing.B) {
	for _, n := range batchSizes {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "log"), filePermission, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			next := uint64(1)
			for b.Loop() {
				if err := db.Update(func(tx *bbolt.Tx) error { return putAll(tx, batch(next, n)) }); err != nil {
					b.Fatal(err)
				}
				next += uint64(n)
			}
			b.ReportMetric(float64(next)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

const filePermission = 0o600

func putAll(tx *bbolt.Tx, entries []raft.Entry) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
	if err != nil {
		return err
	}
	for _, e := range entries {
		key := binary.BigEndian.AppendUint64(nil, e.Index)
		if err := bucket.Put(key, encodeEntry(e)); err != nil {
			return err
		}
	}
	return nil
}
