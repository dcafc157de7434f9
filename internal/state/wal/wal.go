// Package wal implements a write-ahead log of records in segment files. Append
// makes a batch of records durable with one write and one sync (group commit).
//
// Open distinguishes torn writes from corruption. An invalid frame at the end of
// the last segment is a write that was interrupted by a crash; it was never
// acknowledged and is truncated. An invalid frame with valid frames after it had
// been acknowledged, so Open fails.
package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// ErrCorrupt means that acknowledged records are damaged or missing.
var ErrCorrupt = errors.New("wal: corrupt log")

// ErrWrongOwner means that a segment was written by another owner.
var ErrWrongOwner = errors.New("wal: segment of another owner")

// errWriteFailed means that an earlier write failed. The content of the file is
// unknown until the log is opened again.
var errWriteFailed = errors.New("wal: an earlier write failed; reopen the log")

const (
	segmentSuffix     = ".wal"
	segmentNameFormat = "%016x" + segmentSuffix
	segmentHeader     = "lagoonshift wal 1 "
)

// DefaultSegmentBytes is the usual value of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Options configures a Log.
type Options struct {
	Folder disk.Folder
	// Owner identifies the replica. Segments of another owner are refused.
	Owner string
	// SegmentBytes is the size in bytes from which a segment counts as full.
	SegmentBytes int
}

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	options Options
	// segments holds the numbers of all segments in order; the last one is
	// open for appending.
	segments []uint64
	// file is the open segment and segmentSize its size in bytes.
	file        disk.File
	segmentSize int
	// nextSequence is the sequence of the next frame.
	nextSequence uint64
	buffer       []byte
	// failed is set once a write or sync has failed.
	failed bool
}

// Replay is called by Open for each record in order, with the number of its
// segment. It must not retain the record.
type Replay func(segment uint64, record []byte) error

// Open opens the log in a folder and replays it, or creates an empty log. It fails
// if acknowledged records are damaged, if a segment belongs to another owner, or if
// replay returns an error.
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
	if err := l.openLastSegment(); err != nil {
		if l.file != nil {
			_ = l.file.Close() // err says what is wrong
		}
		return nil, err
	}
	return l, nil
}

// openLastSegment opens the last segment for further frames.
func (l *Log) openLastSegment() error {
	if l.segmentSize == 0 {
		return l.recreateLastSegment()
	}
	file, err := l.options.Folder.OpenAppend(segmentName(l.current()))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	l.file = file
	return l.truncateTail()
}

// findSegments lists the segments and checks that none is missing in between.
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

// replaySegment replays the records of a segment and sets l.segmentSize to the end
// of its last valid frame.
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
			return fmt.Errorf("%w: invalid frame at offset %d", ErrCorrupt, l.segmentSize)
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

// readFrame decodes a frame and checks that its sequence is the next one. Any
// sequence is accepted for the first frame, because older segments are removed.
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
		return fmt.Errorf("%w: it belongs to %q, not to %q", ErrWrongOwner, owner, l.options.Owner)
	}
	return nil
}

// recreateLastSegment creates the first segment, or creates the last one again if
// the process crashed before the segment's header was synced.
func (l *Log) recreateLastSegment() error {
	if len(l.segments) > 0 {
		if err := l.options.Folder.Remove(segmentName(l.current())); err != nil {
			return fmt.Errorf("remove segment without a header: %w", err)
		}
		l.segments = l.segments[:len(l.segments)-1]
	}
	return l.Rotate(nil)
}

// truncateTail removes a torn frame, so that no frame is appended after it.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(int64(l.segmentSize)); err != nil {
		return fmt.Errorf("truncate torn frame: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync truncated segment: %w", err)
	}
	return nil
}

// Append writes the records as one frame and syncs it. After an error all further
// writes fail until the log is opened again.
func (l *Log) Append(records [][]byte) error {
	l.buffer = appendFrame(l.buffer[:0], l.nextSequence, records)
	if len(l.buffer)-frameHeaderBytes > maxFrameBytes {
		return ErrBatchTooLarge
	}
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

// Full reports whether the open segment has reached Options.SegmentBytes.
func (l *Log) Full() bool {
	return l.segmentSize >= l.options.SegmentBytes
}

// Rotate closes the open segment and starts a new one that begins with the given
// records.
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

// RemoveBefore removes all segments with lower numbers, oldest first. The open
// segment is never removed.
func (l *Log) RemoveBefore(segment uint64) error {
	for len(l.segments) > 1 && l.segments[0] < segment {
		if err := l.options.Folder.Remove(segmentName(l.segments[0])); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		l.segments = l.segments[1:]
		// Syncing after each removal keeps a crash from leaving a gap in
		// the segment numbers, which Open refuses.
		if err := l.syncFolder(); err != nil {
			return err
		}
	}
	return nil
}

// Close appends an empty frame and closes the log. With a valid frame after them,
// damage to the last records can't be mistaken for a torn write.
func (l *Log) Close() error {
	var err error
	if !l.failed {
		err = l.Append(nil)
	}
	return errors.Join(err, l.file.Close())
}

// IsSegment reports whether name is the file name of a segment.
func IsSegment(name string) bool {
	return strings.HasSuffix(name, segmentSuffix)
}

func segmentName(segment uint64) string {
	return fmt.Sprintf(segmentNameFormat, segment)
}
