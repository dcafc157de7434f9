package controlrole

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

const (
	// quarantineName is the file of the prompt parts in quarantine and of the crashes that
	// don't suffice for it yet. It keeps them over the loss of power of all processes.
	quarantineName = "quarantine"
	// quarantineSaveInterval is the interval at which a changed list is saved, and
	// quarantineAgeInterval the one at which an unchanged list is, since what is left of a
	// quarantine and the ages of crashes change.
	quarantineSaveInterval = 100 * time.Millisecond
	quarantineAgeInterval  = 30 * time.Second
	// maxCrashBytes bounds the crashes in the file.
	maxCrashBytes = 48 << 10
)

// savedQuarantine is the content of the file.
type savedQuarantine struct {
	Parts    []savedPart     `cbor:"1,keyasint"`
	Evidence []savedEvidence `cbor:"2,keyasint"`
	// AtUnixMilli is the time of the save, in milliseconds since the Unix epoch; zero in
	// files of earlier versions.
	AtUnixMilli int64 `cbor:"3,keyasint"`
}

// savedPart is one part in quarantine.
type savedPart struct {
	Part string `cbor:"1,keyasint"`
	// LeftMs is how much longer the quarantine lasted at the time of the save, in
	// milliseconds.
	LeftMs int64 `cbor:"2,keyasint"`
}

// savedEvidence is a candidate of a crash or an answer. AgeMs is the time since then at
// the save, in milliseconds.
type savedEvidence struct {
	Kind    uint8    `cbor:"1,keyasint"`
	Service string   `cbor:"2,keyasint,omitempty"`
	Engine  string   `cbor:"3,keyasint,omitempty"`
	Request string   `cbor:"4,keyasint,omitempty"`
	Content string   `cbor:"5,keyasint,omitempty"`
	Caller  string   `cbor:"6,keyasint,omitempty"`
	Parts   []string `cbor:"7,keyasint"`
	Begun   bool     `cbor:"8,keyasint,omitempty"`
	Others  int      `cbor:"9,keyasint,omitempty"`
	AgeMs   int64    `cbor:"10,keyasint"`
}

// restoreQuarantine restores what is in quarantine and the crashes that don't suffice for
// it yet. A failure costs only what is remembered over a restart of all processes, so it
// is logged.
func (s *Seeded) restoreQuarantine(folder disk.Folder) {
	restored, err := loadQuarantine(folder, clock.Boot{}.Wall())
	if err != nil {
		s.options.Log.Warn("prompt parts in quarantine not restored", "error", err)
	}
	s.detector.Record(restored)
}

// keepQuarantine saves the detector's lists and crashes whenever they change, and once more
// when ctx ends. A failure is logged, like one of restoreQuarantine.
func (s *Seeded) keepQuarantine(ctx context.Context, folder disk.Folder) error {
	saver := quarantineSaver{folder: folder, detector: s.detector, clock: clock.Boot{}}
	failing := false
	save := func(context.Context) {
		err := saver.save()
		if err != nil && !failing {
			s.options.Log.Warn("prompt parts in quarantine not saved; trying again", "error", err)
		}
		failing = err != nil
	}
	err := clock.Every(ctx, quarantineSaveInterval, save)
	save(ctx)
	return err
}

// quarantineSaver saves what a detector knows if it has changed.
type quarantineSaver struct {
	folder   disk.Folder
	detector *quarantine.Detector
	clock    clock.Clock
	// parts and generation are those of the last save, at savedAt; none before the first.
	parts      []string
	generation uint64
	savedAt    clock.Instant
}

func (s *quarantineSaver) save() error {
	now := s.clock.Now()
	parts, generation := partsOf(s.detector), s.detector.EvidenceGeneration()
	changed := generation != s.generation || !slices.Equal(parts, s.parts)
	if aged := generation > 0 && now.Sub(s.savedAt) >= quarantineAgeInterval; !changed && !aged {
		return nil
	}
	if err := saveQuarantine(s.folder, s.detector, s.clock.Wall()); err != nil {
		return err
	}
	s.parts, s.generation, s.savedAt = parts, generation, now
	return nil
}

// QuarantineAdmin serves the list of prompt parts in quarantine to operators and
// lets them release one. Detector returns nil while the replica is not open.
type QuarantineAdmin struct {
	Detector func() *quarantine.Detector
}

// Register adds the endpoints to mux.
func (a *QuarantineAdmin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/quarantine", a.list)
	mux.HandleFunc("DELETE /v1/quarantine/{part}", a.release)
}

func (a *QuarantineAdmin) list(w http.ResponseWriter, _ *http.Request) {
	detector := a.Detector()
	if detector == nil {
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
		return
	}
	lists, _ := detector.PartLists()
	for _, q := range lists.Quarantined {
		_, _ = fmt.Fprintf(w, "%s %s\n", q.Part, q.Left.Round(time.Second))
	}
}

func (a *QuarantineAdmin) release(w http.ResponseWriter, r *http.Request) {
	detector := a.Detector()
	switch {
	case detector == nil:
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
	case !detector.Release(r.PathValue("part")):
		http.Error(w, "the part is not in quarantine", http.StatusNotFound)
	}
}

// Quarantine returns the detector of prompt parts.
func (s *Seeded) Quarantine() *quarantine.Detector { return s.detector }

// partsOf returns the parts in quarantine, sorted.
func partsOf(l *quarantine.Detector) []string {
	lists, _ := l.PartLists()
	out := make([]string, 0, len(lists.Quarantined))
	for _, q := range lists.Quarantined {
		out = append(out, q.Part)
	}
	return out
}

func saveQuarantine(folder disk.Folder, l *quarantine.Detector, at time.Time) error {
	lists, _ := l.PartLists()
	out := savedQuarantine{AtUnixMilli: at.UnixMilli()}
	for _, q := range lists.Quarantined {
		out.Parts = append(out.Parts, savedPart{Part: q.Part, LeftMs: q.Left.Milliseconds()})
	}
	size := 0
	for _, e := range l.Remembered() {
		saved := savedEvidence{
			Kind: uint8(e.Kind), Service: e.Service, Engine: e.Engine, Request: e.Request, Content: e.Fingerprint.Content, Caller: e.Fingerprint.Caller,
			Parts: e.Parts, Begun: e.Begun, Others: e.Others, AgeMs: e.Age.Milliseconds(),
		}
		encoded, err := cbor.Marshal(saved)
		if err != nil {
			return fmt.Errorf("encode evidence: %w", err)
		}
		// The newest crashes come first. Without the answers, which come last, parts that
		// were answered would count.
		if size += len(encoded); size > maxCrashBytes && e.Kind == quarantine.Crash {
			continue
		}
		out.Evidence = append(out.Evidence, saved)
	}
	content, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode quarantine list: %w", err)
	}
	return snapshot.Save(folder, quarantineName, "", content)
}

// sinceSave returns how long before now the file was saved. Without a time, or with one that
// a wrong clock puts after now, it is zero.
func (s savedQuarantine) sinceSave(now time.Time) time.Duration {
	if s.AtUnixMilli <= 0 {
		return 0
	}
	return max(0, now.Sub(time.UnixMilli(s.AtUnixMilli)))
}

// loadQuarantine returns what was saved as evidence, with its ages and what is left of each
// quarantine at a time; none if there is no file.
func loadQuarantine(folder disk.Folder, now time.Time) ([]quarantine.Evidence, error) {
	content, err := snapshot.Load(folder, quarantineName, "")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var saved savedQuarantine
	if err := cbor.Unmarshal(content, &saved); err != nil {
		// The format before evidence was saved has the parts alone.
		if cbor.Unmarshal(content, &saved.Parts) != nil {
			return nil, fmt.Errorf("decode quarantine list: %w", err)
		}
	}
	elapsed := saved.sinceSave(now)
	out := make([]quarantine.Evidence, 0, len(saved.Parts)+len(saved.Evidence))
	for _, v := range saved.Parts {
		if left := millis(v.LeftMs) - elapsed; left > 0 {
			out = append(out, quarantine.Evidence{Kind: quarantine.InQuarantine, Parts: []string{v.Part}, Left: left})
		}
	}
	for _, v := range saved.Evidence {
		out = append(out, quarantine.Evidence{
			Kind: quarantine.Kind(v.Kind), Service: v.Service, Engine: v.Engine, Request: v.Request, Begun: v.Begun, Others: v.Others,
			Fingerprint: quarantine.Fingerprint{Content: v.Content, Caller: v.Caller}, Parts: v.Parts, Age: millis(v.AgeMs) + elapsed,
		})
	}
	return out, nil
}

func millis(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
