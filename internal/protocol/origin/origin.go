// Package origin remembers which software version of a service began a stream, so
// that a stream that a caller takes up again goes on at no other version.
package origin

import (
	"hash/fnv"
	"io"
	"slices"
	"time"
)

const (
	// Retention is how long the origin of a stream is remembered, and how long a
	// version counts after it was last listed. It is longer than any stream lasts
	// together with the time after which a caller takes it up again.
	Retention = 30 * time.Second
	// startMargin is the time after the start of the newest server of a service by
	// which servers of an earlier version have left. It covers the difference
	// between the clocks of VMs.
	startMargin = 10 * time.Second
	// maxRecords bounds the number of remembered streams: Retention at more than
	// 8,700 new streams a second.
	maxRecords = 1 << 18
	// maxReported bounds the number of streams in one report.
	maxReported = 8192
)

// ID identifies a stream in the messages between processes. Zero means that the
// stream isn't named.
type ID uint64

// StreamID returns the ID of the stream of a caller's request, which is the same in
// all processes. It is zero if the request is "".
func StreamID(service, request string) ID {
	if request == "" {
		return 0
	}
	h := fnv.New64a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(h, service)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, request)
	return ID(max(1, h.Sum64()))
}

// Version is a software version of one service.
type Version struct {
	Service string
	Version string
}

// Streams are streams that one version began.
type Streams struct {
	Version
	IDs []ID
}

// Answer is what one process knows of the origin of a stream.
type Answer struct {
	// Version began the stream, if Recorded is set.
	Version  string
	Recorded bool
	// Conflicting is set if more than one version was recorded.
	Conflicting bool
	// Listed are the versions of the service that were listed within Retention.
	Listed []string
	// Covered is set if no version is missing in Listed.
	Covered bool
}

// Settled reports whether only one version can have begun any stream that goes on.
func (a Answer) Settled() bool {
	return a.Covered && len(a.Listed) == 1
}

// Resolve returns the version that began a stream by the answers of several
// processes. found is false unless all that they know leaves one version.
func Resolve(answers ...Answer) (version string, found bool) {
	var recorded, listed []string
	covered := false
	for _, a := range answers {
		if a.Conflicting {
			return "", false
		}
		if a.Recorded {
			recorded = append(recorded, a.Version)
		}
		listed = append(listed, a.Listed...)
		covered = covered || a.Covered
	}
	switch {
	case len(recorded) > 0:
		return sole(recorded)
	case covered:
		return sole(listed)
	}
	return "", false
}

// sole returns the value that all elements have.
func sole(values []string) (value string, found bool) {
	if len(values) == 0 || slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
		return "", false
	}
	return values[0], true
}
