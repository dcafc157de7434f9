package ledger

import (
	"bytes"
	"container/heap"
	"slices"
)

// Encoded is the snapshot form of a ledger. It is deterministic: equal ledgers
// have equal encodings.
type Encoded struct {
	Now     int64 `cbor:"1,keyasint"`
	Horizon int64 `cbor:"2,keyasint"`
	// Records is sorted by key.
	Records []Record `cbor:"3,keyasint"`
	// Pruned is sorted by customer; the fingerprints of a customer are sorted
	// too.
	Pruned []Pruned `cbor:"4,keyasint"`
}

// Pruned lists the fingerprints of one customer's pruned keys.
type Pruned struct {
	Customer string `cbor:"1,keyasint"`
	// Fingerprints is the concatenation of the 16-byte fingerprints.
	Fingerprints []byte `cbor:"2,keyasint"`
}

// Encode returns the content of the ledger for a snapshot.
func (l *Ledger) Encode() Encoded {
	return Encoded{Now: l.now, Horizon: l.horizon, Records: l.List(nil), Pruned: l.encodePruned()}
}

// List returns the records for which keep returns true, sorted by key. A nil
// keep selects all records.
func (l *Ledger) List(keep func(Record) bool) []Record {
	var out []Record
	for _, record := range l.records {
		if keep == nil || keep(record) {
			out = append(out, record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareKeys(a.Reserve.Key, b.Reserve.Key) })
	return out
}

func (l *Ledger) encodePruned() []Pruned {
	byCustomer := make(map[string][]fingerprint)
	for f, customer := range l.fingerprints {
		byCustomer[customer] = append(byCustomer[customer], f)
	}
	out := make([]Pruned, 0, len(byCustomer))
	for customer, list := range byCustomer {
		slices.SortFunc(list, func(a, b fingerprint) int { return bytes.Compare(a[:], b[:]) })
		p := Pruned{Customer: customer}
		for _, f := range list {
			p.Fingerprints = append(p.Fingerprints, f[:]...)
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pruned) int { return bytes.Compare([]byte(a.Customer), []byte(b.Customer)) })
	return out
}

// Decode restores a ledger from the content of a snapshot.
func Decode(content Encoded) *Ledger {
	l := New()
	l.now = content.Now
	l.horizon = content.Horizon
	for _, record := range content.Records {
		l.records[record.Reserve.Key] = record
		l.expiry = append(l.expiry, expiryItem{stamp: record.Reserve.Stamp, key: record.Reserve.Key})
	}
	heap.Init(&l.expiry)
	for _, p := range content.Pruned {
		for part := range slices.Chunk(p.Fingerprints, len(fingerprint{})) {
			l.fingerprints[fingerprint(part)] = p.Customer
			l.fingerprintsByCustomer[p.Customer]++
		}
	}
	return l
}
