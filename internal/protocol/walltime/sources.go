// Package walltime estimates the true time of day from the clocks of many VMs, of which a
// few may be wrong and may step. Every estimate is an offset from the process's own
// steady clock, so that no step of a clock moves it.
package walltime

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// maxSourceAge is the time after which the clock of a source that sends nothing no longer
	// counts.
	maxSourceAge = 10 * time.Second
	// A filter keeps filterBuckets buckets. Each of them holds samples of at least
	// bucketLength and at least bucketSamples of them: after a suspension of the process,
	// the samples that waited in its socket are too old, and may be as many as were sent
	// within six heartbeats of a watch.
	filterBuckets = 3
	bucketLength  = time.Second
	bucketSamples = 24
)

// sources holds the offsets of the clocks of named sources from this process's steady
// clock.
type sources map[string]*filter

// record adds a reading of a source's clock, which has just arrived.
func (s sources) record(now clock.Instant, name string, wall time.Time) {
	f := s[name]
	if f == nil {
		f = &filter{bucketSince: now}
		s[name] = f
	}
	f.add(now, wall.UnixNano()-int64(now))
}

// fresh drops the sources that have sent nothing for long and returns the offsets of the
// others.
func (s sources) fresh(now clock.Instant) []int64 {
	maps.DeleteFunc(s, func(_ string, f *filter) bool { return now.Sub(f.newest) > maxSourceAge })
	out := make([]int64, 0, len(s)+1)
	for _, f := range s {
		out = append(out, f.offset())
	}
	return out
}

// filter estimates the offset of one source's clock. A message only ever arrives late, so
// the largest of several offsets has the least error.
type filter struct {
	// largest holds the largest offsets in the newest buckets, the current one first, of
	// which count are in use.
	largest [filterBuckets]int64
	count   int
	// samples counts those of the current bucket, which began at bucketSince.
	samples     int
	bucketSince clock.Instant
	newest      clock.Instant
}

func (f *filter) add(now clock.Instant, offset int64) {
	f.newest = now
	if f.samples >= bucketSamples && now.Sub(f.bucketSince) >= bucketLength {
		copy(f.largest[1:], f.largest[:])
		f.samples, f.bucketSince = 0, now
	}
	if f.samples == 0 {
		f.largest[0] = offset
		f.count = min(f.count+1, filterBuckets)
	}
	f.largest[0] = max(f.largest[0], offset)
	f.samples++
}

func (f *filter) offset() int64 {
	return slices.Max(f.largest[:f.count])
}

// median returns the median of offsets, which it sorts; the lower one of two. There must
// be one at least.
func median(offsets []int64) int64 {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
