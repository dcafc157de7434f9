package wal

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
)

const firstSegment = "0000000000000001.wal"

func open(d *memdisk.Disk, owner string) (*Log, []string, error) {
	var found []string
	l, err := Open(Options{Folder: d.Open(nil), Owner: owner, SegmentBytes: 200}, func(_ uint64, record []byte) error {
		found = append(found, string(record))
		return nil
	})
	return l, found, err
}

// appendRecords appends batches of two records until it is done or fails, and returns
// the number of records that were acknowledged.
func appendRecords(l *Log, from, to int) (acknowledged int, err error) {
	for i := from; i < to; i += 2 {
		if l.Full() {
			if err := l.Rotate(nil); err != nil {
				return i, err
			}
		}
		batch := [][]byte{fmt.Appendf(nil, "record-%d", i), fmt.Appendf(nil, "record-%d", i+1)}
		if err := l.Append(batch); err != nil {
			return i, err
		}
	}
	return to, nil
}

// checkRecords verifies that found is a run of whole batches from the start that
// holds everything acknowledged.
func checkRecords(t *testing.T, found []string, acknowledged int) {
	t.Helper()
	if len(found) < acknowledged || len(found)%2 != 0 {
		t.Fatalf("found %d records, %d were acknowledged", len(found), acknowledged)
	}
	for i, r := range found {
		if r != fmt.Sprintf("record-%d", i) {
			t.Fatalf("record %d is %q", i, r)
		}
	}
}

// crashAtEachOperation kills the process before and after each change of the disk and
// lets problem judge what the next start finds.
func crashAtEachOperation(t *testing.T, prepare func(*memdisk.Disk), checkRecovery func(found []string, acknowledged int, err error)) {
	t.Helper()
	const records = 30
	clean := memdisk.New(1)
	l, _, err := open(clean, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := appendRecords(l, 0, records); err != nil {
		t.Fatal(err)
	}
	for at := 1; at <= clean.Operations(); at++ {
		for _, after := range []bool{false, true} {
			d := memdisk.New(uint64(at))
			prepare(d)
			d.CrashAt(at, after)
			acknowledged := 0
			if l, _, err := open(d, "a"); err == nil {
				acknowledged, _ = appendRecords(l, 0, records)
			}
			_, found, err := open(d, "a")
			checkRecovery(found, acknowledged, err)
		}
	}
}

func TestCrashBeforeAndAfterEachChange(t *testing.T) {
	crashAtEachOperation(t, func(*memdisk.Disk) {}, func(found []string, acknowledged int, err error) {
		if err != nil {
			t.Fatalf("open after crash: %v", err)
		}
		checkRecords(t, found, acknowledged)
	})
}

// TestCrashTestDetectsMissingSync plants syncs that do nothing.
func TestCrashTestDetectsMissingSync(t *testing.T) {
	lost := 0
	crashAtEachOperation(t, func(d *memdisk.Disk) { d.SetLying(true) }, func(found []string, acknowledged int, err error) {
		if err != nil || len(found) < acknowledged {
			lost++
		}
	})
	if lost == 0 {
		t.Error("records acknowledged without a sync were never lost")
	}
}

func TestBitFlip(t *testing.T) {
	clean := memdisk.New(1)
	l, _, err := open(clean, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := appendRecords(l, 0, 30); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for offset := range clean.Size(firstSegment) {
		d := clean.Copy()
		d.Flip(firstSegment, offset)
		_, _, err := open(d, "a")
		if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrForeign) {
			t.Fatalf("flip at offset %d: %v", offset, err)
		}
		if !strings.Contains(err.Error(), firstSegment) || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("error names no file and offset: %v", err)
		}
	}
}

func TestTornTailIsCutOff(t *testing.T) {
	d := memdisk.New(1)
	l, _, err := open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := appendRecords(l, 0, 2); err != nil {
		t.Fatal(err)
	}
	if _, err := l.file.Write([]byte("a frame that was torn")); err != nil {
		t.Fatal(err)
	}
	l, found, err := open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	checkRecords(t, found, 2)
	if _, err := appendRecords(l, 2, 4); err != nil {
		t.Fatal(err)
	}
	_, found, err = open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	checkRecords(t, found, 4)
}

func TestFullDiskIsReportedAndSurvived(t *testing.T) {
	d := memdisk.New(1)
	l, _, err := open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	acknowledged, _ := appendRecords(l, 0, 4)
	d.SetFull(true)
	if _, err := appendRecords(l, 4, 6); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("append to a full disk: %v", err)
	}
	d.SetFull(false)
	if _, err := appendRecords(l, 4, 6); !errors.Is(err, errWriteFailed) {
		t.Fatalf("append after a failed one: %v", err)
	}
	_, found, err := open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	checkRecords(t, found, acknowledged)
}

func TestForeignSegmentIsRefused(t *testing.T) {
	d := memdisk.New(1)
	if _, _, err := open(d, "cluster/1"); err != nil {
		t.Fatal(err)
	}
	_, _, err := open(d, "cluster/2")
	if !errors.Is(err, ErrForeign) || !strings.Contains(err.Error(), `"cluster/1", not to "cluster/2"`) {
		t.Fatalf("open: %v", err)
	}
}

func TestMissingSegmentIsRefused(t *testing.T) {
	d := memdisk.New(1)
	l, _, err := open(d, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := appendRecords(l, 0, 30); err != nil {
		t.Fatal(err)
	}
	if err := d.Open(nil).Remove(segmentName(2)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(d, "a"); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("open: %v", err)
	}
}
