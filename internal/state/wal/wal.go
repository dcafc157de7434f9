// Package wal is a write-ahead log of records in segment files. Append makes
// a batch of records durable with one write and one sync (group commit).
//
// Damage is told apart on opening: a bad frame at the very end is a write
// that a crash tore, was never acknowledged, and is cut off; a bad frame with
// whole frames after it was acknowledged once, and opening fails.
package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// ErrCorrupt means that acknowledged records are damaged.
var ErrCorrupt = errors.New("wal: corrupt log")

// ErrForeign means that a segment was written by another owner.
var ErrForeign = errors.New("wal: segment of another owner")

// errWriteFailed means that an earlier write failed, so that the file's state is
// unknown until it is opened again.
var errWriteFailed = errors.New("wal: an earlier write failed")

const (
	segmentSuffix     = ".wal"
	segmentNameFormat = "%016x" + segmentSuffix
	segmentHeader     = "lagoonshift wal 1 "
)

// DefaultSegmentBytes is the size at which Full reports true.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	Folder disk.Folder
	// Owner names the replica; a segment of another one is refused.
	Owner string
	// SegmentBytes is the size from which a segment is full.
	SegmentBytes int
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	options Options
	// segments holds the numbers of all segments; the last one is open.
	segments []uint64
	file     disk.File
	segmentSize     int
	// nextSequence is that of the next frame.
	nextSequence uint64
	buffer   []byte
	failed   bool
}

// Replay is called on opening for each record in order, with the number of
// its segment. It must not keep the record.
type Replay func(segment uint64, record []byte) error

// Open opens the log in a folder, or makes an empty one.
func Open(o Options, replay Replay) (*Log, error) {
	l := &Log{options: o}
	if err := l.findSegments(); err != nil {
		return nil, err
	}
	for i, segment := range l.segments {
		last := i == len(l.segments)-1
		if err := l.replaySegment(segment, last, replay); err != nil {
			return nil, fmt.Errorf("open %s: %w", segmentName(segment), err)
		}
	}
	if l.segmentSize == 0 {
		return l, l.recreateLastSegment()
	}
	file, err := o.Folder.OpenAppend(segmentName(l.current()))
	if err != nil {
		return nil, fmt.Errorf("open segment: %w", err)
	}
	l.file = file
	return l, l.truncateTail()
}

func (l *Log) findSegments() error {
	names, err := l.options.Folder.List()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	for _, n := range names {
		if !IsSegment(n) {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(n, segmentNameFormat, &number); err != nil {
			return fmt.Errorf("%w: segment name %q", ErrCorrupt, n)
		}
		l.segments = append(l.segments, number)
	}
	slices.Sort(l.segments)
	for i := 1; i < len(l.segments); i++ {
		if l.segments[i] != l.segments[i-1]+1 {
			return fmt.Errorf("%w: segment %s is missing", ErrCorrupt, segmentName(l.segments[i-1]+1))
		}
	}
	return nil
}

// replaySegment leaves the end of the last whole frame in l.size.
func (l *Log) replaySegment(segment uint64, last bool, replay Replay) error {
	content, err := l.options.Folder.ReadFile(segmentName(segment))
	if err != nil {
		return err
	}
	l.segmentSize = 0
	for l.segmentSize < len(content) {
		f, err := l.readFrame(content[l.segmentSize:])
		if err != nil {
			if last && !hasFrameAfter(content[l.segmentSize:], l.nextSequence) {
				return nil
			}
			return fmt.Errorf("%w: bad frame at offset %d", ErrCorrupt, l.segmentSize)
		}
		if err := l.replayFrame(segment, f, replay); err != nil {
			return fmt.Errorf("frame at offset %d: %w", l.segmentSize, err)
		}
		l.segmentSize += f.size
	}
	if l.segmentSize == 0 && !last {
		return fmt.Errorf("%w: segment is empty", ErrCorrupt)
	}
	return nil
}

// readFrame decodes a frame and checks its place in the sequence.
func (l *Log) readFrame(b []byte) (frame, error) {
	f, err := decodeFrame(b)
	if err != nil {
		return frame{}, err
	}
	first := l.nextSequence == 0
	if !first && f.sequence != l.nextSequence {
		return frame{}, errBadFrame
	}
	l.nextSequence = f.sequence + 1
	return f, nil
}

func (l *Log) replayFrame(segment uint64, f frame, replay Replay) error {
	records, err := f.records()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if l.segmentSize == 0 {
		return l.checkHeader(records)
	}
	for _, r := range records {
		if err := replay(segment, r); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) checkHeader(records [][]byte) error {
	if len(records) != 1 || !strings.HasPrefix(string(records[0]), segmentHeader) {
		return fmt.Errorf("%w: no segment header", ErrCorrupt)
	}
	if owner := strings.TrimPrefix(string(records[0]), segmentHeader); owner != l.options.Owner {
		return fmt.Errorf("%w: it belongs to %q, not to %q", ErrForeign, owner, l.options.Owner)
	}
	return nil
}

// recreateLastSegment makes the first segment, or makes the last one anew if a crash
// came before its header was synced.
func (l *Log) recreateLastSegment() error {
	if len(l.segments) > 0 {
		if err := l.options.Folder.Remove(segmentName(l.current())); err != nil {
			return fmt.Errorf("remove unfinished segment: %w", err)
		}
		l.segments = l.segments[:len(l.segments)-1]
	}
	return l.Rotate(nil)
}

// truncateTail removes a torn frame, so that nothing is appended behind it.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(int64(l.segmentSize)); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync cut tail: %w", err)
	}
	return nil
}

// Append makes the records durable. After an error nothing may be appended
// until the log is opened again.
func (l *Log) Append(records [][]byte) error {
	l.buffer = appendFrame(l.buffer[:0], l.nextSequence, records)
	return l.write(1)
}

// write writes and syncs the buffer, which holds the given number of frames.
func (l *Log) write(frames uint64) error {
	if l.failed {
		return errWriteFailed
	}
	if _, err := l.file.Write(l.buffer); err != nil {
		l.failed = true
		return fmt.Errorf("write %s: %w", segmentName(l.current()), err)
	}
	if err := l.file.Sync(); err != nil {
		l.failed = true
		return fmt.Errorf("sync %s: %w", segmentName(l.current()), err)
	}
	l.segmentSize += len(l.buffer)
	l.nextSequence += frames
	return nil
}

// Full reports whether the open segment has reached its size.
func (l *Log) Full() bool {
	return l.segmentSize >= l.options.SegmentBytes
}

// Rotate closes the open segment and starts a new one with the given records.
func (l *Log) Rotate(records [][]byte) error {
	if l.failed {
		return errWriteFailed
	}
	next := uint64(1)
	if len(l.segments) > 0 {
		next = l.current() + 1
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.failed = true
	file, err := l.options.Folder.Create(segmentName(next))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	l.failed = false
	l.file, l.segmentSize = file, 0
	l.segments = append(l.segments, next)
	l.nextSequence = max(l.nextSequence, 1)
	l.buffer = appendFrame(l.buffer[:0], l.nextSequence, [][]byte{[]byte(segmentHeader + l.options.Owner)})
	l.buffer = appendFrame(l.buffer, l.nextSequence+1, records)
	if err := l.write(2); err != nil {
		return err
	}
	return l.syncFolder()
}

func (l *Log) syncFolder() error {
	if err := l.options.Folder.Sync(); err != nil {
		l.failed = true
		return fmt.Errorf("sync log folder: %w", err)
	}
	return nil
}

// Segment returns the number of the open segment.
func (l *Log) Segment() uint64 {
	return l.current()
}

func (l *Log) current() uint64 {
	return l.segments[len(l.segments)-1]
}

// RemoveBefore removes all segments with lower numbers, oldest first.
func (l *Log) RemoveBefore(segment uint64) error {
	for len(l.segments) > 1 && l.segments[0] < segment {
		if err := l.options.Folder.Remove(segmentName(l.segments[0])); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		l.segments = l.segments[1:]
		// Names may not vanish out of order, or a gap would show.
		if err := l.syncFolder(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends the log with an empty frame, so that damage to the last records
// can't pass for a torn write.
func (l *Log) Close() error {
	var err error
	if !l.failed {
		err = l.Append(nil)
	}
	return errors.Join(err, l.file.Close())
}

// IsSegment reports whether a file's name is that of a segment.
func IsSegment(name string) bool {
	return strings.HasSuffix(name, segmentSuffix)
}

func segmentName(segment uint64) string {
	return fmt.Sprintf(segmentNameFormat, segment)
}
