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
	// verdictsName is the file of the prompt parts in quarantine. It keeps them
	// over the loss of power of all processes.
	verdictsName = "quarantine"
	// verdictsInterval is the interval at which a changed list is saved.
	verdictsInterval = 100 * time.Millisecond
)

// savedVerdict is one part in the file.
type savedVerdict struct {
	Part string `cbor:"1,keyasint"`
	// LeftMs is how long the quarantine lasted at the time of the save, in
	// milliseconds. After a restart it lasts as long again, since the time in
	// between is not known.
	LeftMs int64 `cbor:"2,keyasint"`
}

// keepVerdicts restores the parts in quarantine and saves them whenever they
// change, until ctx ends. A failure costs only what is remembered over a restart
// of all processes, so it is logged.
func (s *Seeded) keepVerdicts(ctx context.Context) error {
	folder, err := disk.Open(s.options.DataFolder)
	if err != nil {
		return fmt.Errorf("open folder of verdicts: %w", err)
	}
	restored, err := loadVerdicts(folder)
	if err != nil {
		s.options.Log.Warn("prompt parts in quarantine not restored", "error", err)
	}
	var saved []string
	for _, e := range restored {
		saved = append(saved, e.Parts...)
	}
	s.ledger.Record(restored)
	failing := false
	return clock.Every(ctx, verdictsInterval, func(context.Context) {
		parts := partsOf(s.ledger)
		if slices.Equal(parts, saved) {
			return
		}
		err := saveVerdicts(folder, s.ledger)
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
// lets them release one. Ledger returns nil while the replica is not open.
type QuarantineAdmin struct {
	Ledger func() *quarantine.Ledger
}

// Register adds the endpoints to mux.
func (a *QuarantineAdmin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/quarantine", a.list)
	mux.HandleFunc("DELETE /v1/quarantine/{part}", a.release)
}

func (a *QuarantineAdmin) list(w http.ResponseWriter, _ *http.Request) {
	ledger := a.Ledger()
	if ledger == nil {
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
		return
	}
	verdicts, _ := ledger.Verdicts()
	for _, q := range verdicts.Quarantined {
		_, _ = fmt.Fprintf(w, "%s %s\n", q.Part, q.Left.Round(time.Second))
	}
}

func (a *QuarantineAdmin) release(w http.ResponseWriter, r *http.Request) {
	ledger := a.Ledger()
	switch {
	case ledger == nil:
		http.Error(w, "the replica is not open", http.StatusServiceUnavailable)
	case !ledger.Release(r.PathValue("part")):
		http.Error(w, "the part is not in quarantine", http.StatusNotFound)
	}
}

// Quarantine returns the ledger of prompt parts.
func (s *Seeded) Quarantine() *quarantine.Ledger { return s.ledger }

// partsOf returns the parts in quarantine, sorted.
func partsOf(l *quarantine.Ledger) []string {
	verdicts, _ := l.Verdicts()
	out := make([]string, 0, len(verdicts.Quarantined))
	for _, q := range verdicts.Quarantined {
		out = append(out, q.Part)
	}
	return out
}

func saveVerdicts(folder disk.Folder, l *quarantine.Ledger) error {
	verdicts, _ := l.Verdicts()
	out := make([]savedVerdict, 0, len(verdicts.Quarantined))
	for _, q := range verdicts.Quarantined {
		out = append(out, savedVerdict{Part: q.Part, LeftMs: q.Left.Milliseconds()})
	}
	content, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode verdicts: %w", err)
	}
	return snapshot.Save(folder, verdictsName, "", content)
}

// loadVerdicts returns the saved parts as evidence; none if there is no file.
func loadVerdicts(folder disk.Folder) ([]quarantine.Evidence, error) {
	content, err := snapshot.Load(folder, verdictsName, "")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var saved []savedVerdict
	if err := cbor.Unmarshal(content, &saved); err != nil {
		return nil, fmt.Errorf("decode verdicts: %w", err)
	}
	out := make([]quarantine.Evidence, 0, len(saved))
	for _, v := range saved {
		out = append(out, quarantine.Evidence{Kind: quarantine.Verdict, Parts: []string{v.Part}, Left: time.Duration(v.LeftMs) * time.Millisecond})
	}
	return out, nil
}
