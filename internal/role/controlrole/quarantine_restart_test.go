package controlrole

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

func openFolder(t *testing.T) (*disk.OSFolder, string) {
	t.Helper()
	path := t.TempDir()
	folder, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return folder, path
}

// crashEvidence has the given parts wait at a server that has just ended, one request each.
func crashEvidence(engine string, prompts ...[]string) (out []quarantine.Evidence) {
	for i, parts := range prompts {
		id := fmt.Sprint(engine, "/", i)
		out = append(out, quarantine.Evidence{
			Kind: quarantine.Crash, Service: "llm", Engine: engine, Request: id, Fingerprint: quarantine.NewFingerprint("caller", []byte(id)), Parts: parts,
		})
	}
	return out
}

// TestCrashesCountOverRestart restarts all processes after four crashes, one sound part
// of which was answered.
func TestCrashesCountOverRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, _ := openFolder(t)
		detector := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
		saver := quarantineSaver{folder: folder, detector: detector, clock: clock.NewRuntime()}
		answer := func() {
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				detector.Record([]quarantine.Evidence{{Kind: quarantine.Answered, Service: "llm"}})
				detector.Advance()
				if err := saver.save(); err != nil {
					t.Fatal(err)
				}
			}
		}
		for i := range 5 {
			if i == 4 {
				restored, err := loadQuarantine(folder, time.Now())
				if err != nil {
					t.Fatal(err)
				}
				detector = quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
				detector.Record(restored)
				saver = quarantineSaver{folder: folder, detector: detector, clock: clock.NewRuntime()}
			}
			detector.Record(crashEvidence(fmt.Sprint("e", i), []string{"sound", "deadly"}, []string{"sound", fmt.Sprint("rare-", i)}))
			answer()
			detector.Record([]quarantine.Evidence{{Kind: quarantine.Answered, Service: "llm", Parts: []string{"sound"}}})
			answer()
		}
		if got := partsOf(detector); len(got) != 1 || got[0] != "deadly" {
			t.Errorf("got parts %v in quarantine, want the deadly one", got)
		}
	})
}

// TestQuarantineShrinksOverRestarts restarts a replica again and again.
func TestQuarantineShrinksOverRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, _ := openFolder(t)
		known := []quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: quarantine.Duration}}
		for range 25 {
			detector := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
			detector.Record(known)
			saver := quarantineSaver{folder: folder, detector: detector, clock: clock.NewRuntime()}
			for range 400 {
				time.Sleep(100 * time.Millisecond)
				detector.Advance()
				if err := saver.save(); err != nil {
					t.Fatal(err)
				}
			}
			var err error
			if known, err = loadQuarantine(folder, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		if len(known) > 0 {
			t.Errorf("after 25 restarts 40 s apart: %+v, want nothing in quarantine", known)
		}
	})
}

// TestAnswerWhileReplicaWasDownEndsQuarantine guards against a quarantine, or crashes, that count again after a restart though they were answered meanwhile.
func TestAnswerWhileReplicaWasDownEndsQuarantine(t *testing.T) {
	for _, c := range []struct {
		name string
		// answered is when the part was answered, after the quarantine began, and down how long
		// the replica was.
		answered, down time.Duration
		kept           bool
	}{
		{name: "answered while it was down", answered: 10 * time.Second, down: time.Minute},
		{name: "answered long before it was back", answered: 10 * time.Second, down: 8 * time.Minute},
		{name: "answered before", answered: -time.Second, down: time.Minute, kept: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				folder, _ := openFolder(t)
				detector := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
				detector.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: quarantine.Duration}})
				detector.Record(crashEvidence("e", []string{"deadly"}))
				saver := quarantineSaver{folder: folder, detector: detector, clock: clock.NewRuntime()}
				time.Sleep(time.Second)
				if err := saver.save(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(c.down)
				restored, err := loadQuarantine(folder, time.Now())
				if err != nil {
					t.Fatal(err)
				}
				detector = quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
				detector.Record(restored)
				detector.Record([]quarantine.Evidence{{Kind: quarantine.Answered, Service: "llm", Parts: []string{"deadly"}, Age: time.Second + c.down - c.answered}})
				if got := partsOf(detector); (len(got) == 1) != c.kept {
					t.Errorf("got parts %v in quarantine, want it kept: %t", got, c.kept)
				}
			})
		})
	}
}

// TestQuarantineFileIsBounded saves as much evidence as a detector keeps.
func TestQuarantineFileIsBounded(t *testing.T) {
	folder, path := openFolder(t)
	detector := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
	for i := range 256 {
		var prompts [][]string
		for j := range 64 {
			prompts = append(prompts, []string{"part-of-all-1", fmt.Sprintf("customer-%07d", j), fmt.Sprintf("session-%07d", 64*i+j)})
		}
		detector.Record(crashEvidence(fmt.Sprint("i-0123456789abcdef/", i), prompts...))
	}
	if err := saveQuarantine(folder, detector, time.Now()); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(path, quarantineName))
	if err != nil {
		t.Fatal(err)
	}
	if info.Size() > 80<<10 {
		t.Errorf("the file has %d bytes, want at most 80 KiB", info.Size())
	}
	if restored, err := loadQuarantine(folder, time.Now()); err != nil || len(restored) < 100 {
		t.Errorf("restored %d pieces of evidence, error %v, want the newest crashes", len(restored), err)
	}
}

// TestQuarantineFileCanBeReadAfterRollback guards against a file that an earlier version can't read.
func TestQuarantineFileCanBeReadAfterRollback(t *testing.T) {
	folder, _ := openFolder(t)
	detector := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
	detector.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: time.Minute}})
	if err := saveQuarantine(folder, detector, time.Now()); err != nil {
		t.Fatal(err)
	}
	content, err := snapshot.Load(folder, quarantineName, "")
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		Parts    []savedPart     `cbor:"1,keyasint"`
		Evidence []savedEvidence `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(content, &earlier); err != nil || len(earlier.Parts) != 1 || earlier.Parts[0].LeftMs < 50_000 {
		t.Errorf("got %+v, error %v, want the part with its time", earlier, err)
	}
}

// TestQuarantineFileOfWrongClockKeepsQuarantine guards against a clock that was ahead at the save, or a file without a time, ending a quarantine.
func TestQuarantineFileOfWrongClockKeepsQuarantine(t *testing.T) {
	folder, _ := openFolder(t)
	for name, at := range map[string]time.Time{"ahead": time.Now().Add(time.Hour), "none": time.UnixMilli(0)} {
		detector := quarantine.NewDetector(clock.Boot{}, hclog.NewNullLogger())
		detector.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"deadly"}, Left: time.Minute}})
		if err := saveQuarantine(folder, detector, at); err != nil {
			t.Fatal(err)
		}
		if restored, err := loadQuarantine(folder, time.Now()); err != nil || len(restored) != 1 || restored[0].Left < 50*time.Second {
			t.Errorf("%s: got %+v, error %v, want the part with its time", name, restored, err)
		}
	}
}

// TestQuarantineFileWithPartsAloneLoads loads the format of earlier versions.
func TestQuarantineFileWithPartsAloneLoads(t *testing.T) {
	folder, _ := openFolder(t)
	content, err := cbor.Marshal([]savedPart{{Part: "deadly", LeftMs: 60000}})
	if err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Save(folder, quarantineName, "", content); err != nil {
		t.Fatal(err)
	}
	restored, err := loadQuarantine(folder, time.Now())
	if err != nil || len(restored) != 1 || restored[0].Parts[0] != "deadly" || restored[0].Left != time.Minute {
		t.Errorf("got %+v, error %v, want the part with its time", restored, err)
	}
}

// TestQuarantineIsSavedAsReplicaStops guards against what a replica learns between its last save and its stop.
func TestQuarantineIsSavedAsReplicaStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, _ := openFolder(t)
		s := &Seeded{options: SeededOptions{Log: hclog.NewNullLogger()}, detector: quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.keepQuarantine(ctx, folder) }()
		time.Sleep(quarantineSaveInterval / 2)
		s.detector.Record(crashEvidence("e", []string{"deadly"}))
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		if restored, err := loadQuarantine(folder, time.Now()); err != nil || len(restored) != 1 {
			t.Errorf("restored %+v, error %v, want the crash", restored, err)
		}
	})
}
