package snapshot

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
)

// saveTwice saves two contents in turn, stops at the first error, and returns the
// last content that was acknowledged.
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

// countCrashLosses crashes the process before and after each operation that
// changes the disk. It returns the number of crashes after which the
// acknowledged content was missing or damaged. If ignoreSync is set, file
// syncs have no effect.
func countCrashLosses(t *testing.T, ignoreSync bool) int {
	t.Helper()
	clean := memdisk.New(1)
	saveTwice(clean)
	lost := 0
	for at := 1; at <= clean.Operations(); at++ {
		for _, after := range []bool{false, true} {
			d := memdisk.New(uint64(at))
			d.SetIgnoreSync(ignoreSync)
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
		t.Errorf("content was lost or damaged at %d crash points, want 0", lost)
	}
}

// TestCrashTestDetectsMissingSync checks that countCrashLosses detects lost content
// if file syncs have no effect.
func TestCrashTestDetectsMissingSync(t *testing.T) {
	if countCrashLosses(t, true) == 0 {
		t.Error("no crash lost content although file syncs have no effect")
	}
}

func TestEachBitFlipIsFound(t *testing.T) {
	clean := memdisk.New(1)
	saveTwice(clean)
	for offset := range clean.Size("s") {
		d := clean.Copy()
		d.Flip("s", offset)
		if _, err := Load(d.Open(nil), "s", "owner"); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("flip at offset %d: Load error is %v, want ErrCorrupt", offset, err)
		}
	}
}

func TestFileOfAnotherOwnerIsRefused(t *testing.T) {
	d := memdisk.New(1)
	saveTwice(d)
	if _, err := Load(d.Open(nil), "s", "other"); !errors.Is(err, ErrWrongOwner) {
		t.Fatalf("Load error is %v, want ErrWrongOwner", err)
	}
}
