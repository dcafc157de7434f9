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
	// A filter keeps the samples of filterBuckets intervals of bucketLength. That is longer
	// than all delays but those of a suspended process.
	filterBuckets = 3
	bucketLength  = 2 * time.Second
	// maxSampleGap bounds what a time without samples counts for the age of samples. After
	// a suspension of this process, messages that waited in its sockets arrive first;
	// what they say is too old by the length of the suspension.
	maxSampleGap = 500 * time.Millisecond
)

// sources holds the offsets of the clocks of named sources from this process's steady
// clock.
type sources struct {
	filters map[string]*filter
	// awake is the time in which samples arrived, and newest the arrival of the newest one.
	awake  time.Duration
	newest clock.Instant
}

func newSources() sources {
	return sources{filters: make(map[string]*filter)}
}

// record adds a reading of a source's clock, which has just arrived.
func (s *sources) record(now clock.Instant, name string, wall time.Time) {
	if len(s.filters) > 0 {
		s.awake += min(now.Sub(s.newest), maxSampleGap)
	}
	s.newest = now
	f := s.filters[name]
	if f == nil {
		f = &filter{bucketSince: s.awake}
		s.filters[name] = f
	}
	f.add(s.awake, wall.UnixNano()-int64(now))
}

// offsets drops the sources that have sent nothing for long, while others have, and returns
// the offsets of the others.
func (s *sources) offsets() []int64 {
	maps.DeleteFunc(s.filters, func(_ string, f *filter) bool { return s.awake-f.newest > maxSourceAge })
	out := make([]int64, 0, len(s.filters)+1)
	for _, f := range s.filters {
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
	// bucketSince is when the current bucket began, and newest when the newest sample
	// arrived.
	bucketSince, newest time.Duration
}

func (f *filter) add(now time.Duration, offset int64) {
	f.newest = now
	switch {
	case f.count == 0 || now-f.bucketSince >= bucketLength:
		copy(f.largest[1:], f.largest[:])
		f.largest[0] = offset
		f.count, f.bucketSince = min(f.count+1, filterBuckets), now
	default:
		f.largest[0] = max(f.largest[0], offset)
	}
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
