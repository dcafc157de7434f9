package snapshot

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
)

// saveTwice saves two contents and returns the last acknowledged one.
func saveTwice(d *memdisk.Disk) string {
	acknowledged := ""
	folder := d.Open(nil)
	for _, content := range []string{"first", "second"} {
		if Save(folder, "s", "owner", []byte(content)) != nil {
			break
		}
		acknowledged = content
	}
	return acknowledged
}

// countCrashLosses kills the process before and after each change and counts the
// acknowledged contents that were gone or damaged afterwards.
func countCrashLosses(t *testing.T, lying bool) int {
	t.Helper()
	clean := memdisk.New(1)
	saveTwice(clean)
	lost := 0
	for at := 1; at <= clean.Operations(); at++ {
		for _, after := range []bool{false, true} {
			d := memdisk.New(uint64(at))
			d.SetLying(lying)
			d.CrashAt(at, after)
			acknowledged := saveTwice(d)
			content, err := Load(d.Open(nil), "s", "owner")
			missing := errors.Is(err, fs.ErrNotExist) && acknowledged == ""
			newer := acknowledged == "first" && string(content) == "second"
			if !missing && (err != nil || (acknowledged != "" && string(content) != acknowledged && !newer)) {
				lost++
			}
		}
	}
	return lost
}

func TestCrashLeavesOldOrNewContent(t *testing.T) {
	if lost := countCrashLosses(t, false); lost != 0 {
		t.Errorf("%d crash points lost content", lost)
	}
}

// TestCrashTestDetectsMissingSync plants syncs that do nothing.
func TestCrashTestDetectsMissingSync(t *testing.T) {
	if countCrashLosses(t, true) == 0 {
		t.Error("content without a sync was never lost")
	}
}

func TestEachBitFlipIsFound(t *testing.T) {
	clean := memdisk.New(1)
	saveTwice(clean)
	for offset := range clean.Size("s") {
		d := clean.Copy()
		d.Flip("s", offset)
		if _, err := Load(d.Open(nil), "s", "owner"); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("flip at offset %d: %v", offset, err)
		}
	}
}

func TestFileOfAnotherOwnerIsRefused(t *testing.T) {
	d := memdisk.New(1)
	saveTwice(d)
	if _, err := Load(d.Open(nil), "s", "other"); !errors.Is(err, ErrWrongOwner) {
		t.Fatalf("load: %v", err)
	}
}
