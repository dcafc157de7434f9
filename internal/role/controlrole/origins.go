package controlrole

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

const (
	// originsName is the file of the origins of streams. It keeps them over a
	// restart of all processes.
	originsName = "origins"
	// originsSaveInterval is the interval at which changed origins are saved. Large
	// files are saved less often, so that no more than originsSaveBytes are written
	// a second.
	originsSaveInterval = 250 * time.Millisecond
	originsSaveBytes    = 256 << 10
	// originsRefreshInterval is the longest time between two savings: old files are not
	// restored.
	originsRefreshInterval = origin.Retention / 3
)

// savedOrigins is the content of the file.
type savedOrigins struct {
	Listed  []savedVersion `cbor:"1,keyasint"`
	Streams []savedStreams `cbor:"2,keyasint"`
	Covered []string       `cbor:"3,keyasint"`
	// AtUnixMilli is the time of saving, in milliseconds since the Unix epoch.
	AtUnixMilli int64 `cbor:"4,keyasint"`
}

type savedVersion struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

type savedStreams struct {
	Version savedVersion `cbor:"1,keyasint"`
	IDs     []origin.ID  `cbor:"2,keyasint"`
}

// restoreOrigins restores the origins of streams. A failure costs only what is
// remembered over a restart of all processes, so it is logged.
func (s *Seeded) restoreOrigins(folder disk.Folder) {
	saved, err := loadOrigins(folder)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if s.options.FirstStart() && s.state.Document().Version == 0 {
			s.hub.Origins().StartFirst()
		}
		return
	case err != nil:
		s.options.Log.Warn("origins of streams not restored", "error", err)
		return
	}
	s.hub.Origins().Restore(saved)
	s.options.Log.Info("origins of streams restored", "versions", len(saved.Listed), "streams", countStreams(saved))
}

// keepOrigins saves the origins of streams whenever they change, and as long as they
// don't every originsRefreshInterval, until ctx ends.
func (s *Seeded) keepOrigins(ctx context.Context, folder disk.Folder) error {
	origins := s.hub.Origins()
	saved, savedAt, failing := uint64(0), time.Time{}, false
	for pause := originsSaveInterval; clock.Sleep(ctx, pause); {
		pause = originsSaveInterval
		generation := origins.Generation()
		if generation == saved && time.Since(savedAt) < originsRefreshInterval {
			continue
		}
		size, err := saveOrigins(folder, origins.Save())
		switch {
		case err == nil:
			saved, savedAt = generation, time.Now()
		case !failing:
			s.options.Log.Warn("origins of streams not saved; trying again", "error", err)
		}
		failing = err != nil
		pause = max(pause, time.Duration(size)*time.Second/originsSaveBytes)
	}
	return nil
}

func countStreams(s origin.Saved) (n int) {
	for _, streams := range s.Streams {
		n += len(streams.IDs)
	}
	return n
}

// saveOrigins returns the size of the content.
func saveOrigins(folder disk.Folder, s origin.Saved) (size int, err error) {
	out := savedOrigins{Covered: s.Covered, AtUnixMilli: s.At.UnixMilli()}
	for _, v := range s.Listed {
		out.Listed = append(out.Listed, savedVersion(v))
	}
	for _, streams := range s.Streams {
		out.Streams = append(out.Streams, savedStreams{Version: savedVersion(streams.Version), IDs: streams.IDs})
	}
	content, err := cbor.Marshal(out)
	if err != nil {
		return 0, fmt.Errorf("encode origins of streams: %w", err)
	}
	return len(content), snapshot.Save(folder, originsName, "", content)
}

// loadOrigins returns what was saved. It fails with fs.ErrNotExist if nothing was.
func loadOrigins(folder disk.Folder) (origin.Saved, error) {
	content, err := snapshot.Load(folder, originsName, "")
	if err != nil {
		return origin.Saved{}, err
	}
	var saved savedOrigins
	if err := cbor.Unmarshal(content, &saved); err != nil {
		return origin.Saved{}, fmt.Errorf("decode origins of streams: %w", err)
	}
	out := origin.Saved{At: time.UnixMilli(saved.AtUnixMilli), Covered: saved.Covered}
	for _, v := range saved.Listed {
		out.Listed = append(out.Listed, origin.Version(v))
	}
	for _, streams := range saved.Streams {
		out.Streams = append(out.Streams, origin.Streams{Version: origin.Version(streams.Version), IDs: streams.IDs})
	}
	return out, nil
}
