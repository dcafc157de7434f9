package origin

import "github.com/lagoonshift/lagoonshift/internal/clock"

// records holds the versions that began streams, for Retention and at most
// maxRecords of them. It is not safe for concurrent use.
type records struct {
	clock clock.Clock
	// versions are the distinct versions; a record holds an index into them.
	versions []Version
	indexes  map[Version]uint32
	byID     map[ID]record
	// queue holds the records in the order of time, beginning with the one of
	// sequence number first.
	queue []queued
	first uint64
}

// record is the newest record of a stream.
type record struct {
	sequence    uint64
	version     uint32
	conflicting bool
}

// queued is one recording of a stream.
type queued struct {
	id      ID
	at      clock.Instant
	version uint32
}

func newRecords(c clock.Clock) *records {
	return &records{clock: c, indexes: make(map[Version]uint32), byID: make(map[ID]record), first: 1}
}

// add records that a version began a stream. Two versions of one stream conflict
// for as long as either is remembered.
func (r *records) add(v Version, id ID) {
	if id == 0 {
		return
	}
	now := r.clock.Now()
	r.expire(now)
	index := r.index(v)
	held, known := r.byID[id]
	r.byID[id] = record{
		sequence:    r.next(),
		version:     index,
		conflicting: known && (held.conflicting || held.version != index),
	}
	r.queue = append(r.queue, queued{id: id, at: now, version: index})
	if len(r.queue) > maxRecords {
		r.forgetOldest()
	}
}

// index returns the index of a version.
func (r *records) index(v Version) uint32 {
	index, known := r.indexes[v]
	if !known {
		index = uint32(len(r.versions))
		r.versions = append(r.versions, v)
		r.indexes[v] = index
	}
	return index
}

// next returns the sequence number of the next recording.
func (r *records) next() uint64 {
	return r.first + uint64(len(r.queue))
}

// expire forgets what is older than Retention.
func (r *records) expire(now clock.Instant) {
	for len(r.queue) > 0 && now.Sub(r.queue[0].at) >= Retention {
		r.forgetOldest()
	}
	if len(r.queue) == 0 {
		// Names of versions are few, but not bounded over the life of a process.
		r.versions, r.queue = nil, nil
		clear(r.indexes)
	}
}

func (r *records) forgetOldest() {
	oldest := r.queue[0]
	if r.byID[oldest.id].sequence == r.first {
		delete(r.byID, oldest.id)
	}
	r.queue = r.queue[1:]
	r.first++
}

// find returns the record of a stream.
func (r *records) find(id ID) (v Version, conflicting, found bool) {
	r.expire(r.clock.Now())
	held, found := r.byID[id]
	if !found {
		return Version{}, false, false
	}
	return r.versions[held.version], held.conflicting, true
}

// since returns at most maxReported streams recorded from a sequence number on, for
// services that wanted accepts, and the sequence number to go on with.
func (r *records) since(sequence uint64, wanted func(service string) bool) (out []Streams, next uint64) {
	r.expire(r.clock.Now())
	next = max(sequence, r.first)
	accepted := make(map[uint32]bool)
	for i, v := range r.versions {
		accepted[uint32(i)] = wanted(v.Service)
	}
	byVersion := make(map[uint32][]ID)
	for reported := 0; next < r.next() && reported < maxReported; next++ {
		q := r.queue[next-r.first]
		held := r.byID[q.id]
		repeated := held.sequence != next && held.version == q.version
		if accepted[q.version] && !repeated {
			byVersion[q.version] = append(byVersion[q.version], q.id)
			reported++
		}
	}
	for index, ids := range byVersion {
		out = append(out, Streams{Version: r.versions[index], IDs: ids})
	}
	return out, next
}
