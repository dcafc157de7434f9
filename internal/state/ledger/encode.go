package ledger

import (
	"bytes"
	"container/heap"
	"slices"
)

// Encoded is the ledger as it stands in a snapshot. Equal ledgers have equal
// encodings.
type Encoded struct {
	Now     int64 `cbor:"1,keyasint"`
	Horizon int64 `cbor:"2,keyasint"`
	// Records are ordered by key.
	Records []Record `cbor:"3,keyasint"`
	// Pruned are ordered by customer and fingerprint.
	Pruned []Pruned `cbor:"4,keyasint"`
}

// Pruned lists the fingerprints of one customer's pruned keys.
type Pruned struct {
	Customer string `cbor:"1,keyasint"`
	// Fingerprints are concatenated.
	Fingerprints []byte `cbor:"2,keyasint"`
}

// Encode returns the ledger's content.
func (l *Ledger) Encode() Encoded {
	return Encoded{Now: l.now, Horizon: l.horizon, Records: l.List(nil), Pruned: l.encodePruned()}
}

// List returns the records that keep reports true for, ordered by key; all if
// keep is nil.
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

// Decode returns the ledger with the given content.
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
