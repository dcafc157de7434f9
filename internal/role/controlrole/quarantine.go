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
	"github.com/lagoonshift/lagoonshift/internal/protocol/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

const (
	// quarantineName is the file of the prompt parts in quarantine. It keeps them
	// over the loss of power of all processes.
	quarantineName = "quarantine"
	// quarantineSaveInterval is the interval at which a changed list is saved.
	quarantineSaveInterval = 100 * time.Millisecond
)

// savedPart is one part in the file.
type savedPart struct {
	Part string `cbor:"1,keyasint"`
	// LeftMs is how long the quarantine lasted at the time of the save, in
	// milliseconds. After a restart it lasts as long again, since the time in
	// between is not known.
	LeftMs int64 `cbor:"2,keyasint"`
}

// keepQuarantine restores the parts in quarantine and saves them whenever they
// change, until ctx ends. A failure costs only what is remembered over a restart
// of all processes, so it is logged.
func (s *Seeded) keepQuarantine(ctx context.Context) error {
	folder, err := disk.Open(s.options.DataFolder)
	if err != nil {
		return fmt.Errorf("open folder of the quarantine list: %w", err)
	}
	restored, err := loadQuarantine(folder)
	if err != nil {
		s.options.Log.Warn("prompt parts in quarantine not restored", "error", err)
	}
	var saved []string
	for _, e := range restored {
		saved = append(saved, e.Parts...)
	}
	s.detector.Record(restored)
	failing := false
	return clock.Every(ctx, quarantineSaveInterval, func(context.Context) {
		parts := partsOf(s.detector)
		if slices.Equal(parts, saved) {
			return
		}
		err := saveQuarantine(folder, s.detector)
		switch {
		case err == nil:
			saved = parts
		case !failing:
			s.options.Log.Warn("prompt parts in quarantine not saved; trying again", "parts", len(parts), "error", err)
		}
		failing = err != nil
	})
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

func saveQuarantine(folder disk.Folder, l *quarantine.Detector) error {
	lists, _ := l.PartLists()
	out := make([]savedPart, 0, len(lists.Quarantined))
	for _, q := range lists.Quarantined {
		out = append(out, savedPart{Part: q.Part, LeftMs: q.Left.Milliseconds()})
	}
	content, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode quarantine list: %w", err)
	}
	return snapshot.Save(folder, quarantineName, "", content)
}

// loadQuarantine returns the saved parts as evidence; none if there is no file.
func loadQuarantine(folder disk.Folder) ([]quarantine.Evidence, error) {
	content, err := snapshot.Load(folder, quarantineName, "")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var saved []savedPart
	if err := cbor.Unmarshal(content, &saved); err != nil {
		return nil, fmt.Errorf("decode quarantine list: %w", err)
	}
	out := make([]quarantine.Evidence, 0, len(saved))
	for _, v := range saved {
		out = append(out, quarantine.Evidence{Kind: quarantine.InQuarantine, Parts: []string{v.Part}, Left: time.Duration(v.LeftMs) * time.Millisecond})
	}
	return out, nil
}
