package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// benchTracker returns a tracker with the given number of engines, spread
// evenly over the given number of models.
func benchTracker(engines, models int) *Tracker {
	t := NewTracker(clock.Boot{})
	c := &settings.Configuration{Models: make(map[string]settings.Model)}
	for m := range models {
		c.Models[fmt.Sprintf("m%02d", m)] = settings.Model{Engines: make(map[string]settings.Engine)}
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%04d", i)
		c.Models[fmt.Sprintf("m%02d", i%models)].Engines[name] = settings.Engine{URL: "http://" + name, Zone: "a"}
	}
	t.Configure(c)
	return t
}

var fleetSizes = []struct{ engines, models int }{{18, 1}, {200, 14}, {2800, 14}}

func benchPrefix() []uint64 {
	hashes := make([]uint64, 16)
	for i := range hashes {
		hashes[i] = uint64(i+1) << 40
	}
	return hashes
}

// BenchmarkRequest measures the cost of one request: picking an engine and
// recording its start, its first token and its end.
func BenchmarkRequest(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", s.engines), func(b *testing.B) {
			t := benchTracker(s.engines, s.models)
			picker := NewPredictive(1)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				r := &Request{Model: "m00", Team: "t", Class: "c", PromptTokens: 5000, OutputTokens: 300, ExpectedWait: time.Hour, PrefixHashes: benchPrefix()}
				for pb.Next() {
					choice, err := picker.Pick(t.Snapshot(), r)
					if err != nil {
						b.Error(err)
						return
					}
					f := t.Start(choice.Engine.Name, r)
					f.RecordFirstToken()
					f.Done()
				}
			})
		})
	}
}

// BenchmarkReport measures applying one load report.
func BenchmarkReport(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", s.engines), func(b *testing.B) {
			t := benchTracker(s.engines, s.models)
			for i := range b.N {
				t.ApplyReport(fmt.Sprintf("engine-%04d", i%s.engines), backend.LoadReport{Role: settings.RoleMixed, Running: i % 40}, clock.Boot{}.Now())
			}
		})
	}
}

// BenchmarkPublish measures building one snapshot.
func BenchmarkPublish(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", s.engines), func(b *testing.B) {
			t := benchTracker(s.engines, s.models)
			b.ReportAllocs()
			for b.Loop() {
				t.mu.Lock()
				t.publish()
				t.mu.Unlock()
			}
		})
	}
}

// BenchmarkMemory measures the heap size of a tracker, including its prefix
// indexes.
func BenchmarkMemory(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", s.engines), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				t := benchTracker(s.engines, s.models)
				held := heapBytes() - before
				b.ReportMetric(held/float64(s.engines), "B/engine")
				b.ReportMetric(held, "B/tracker")
				runtime.KeepAlive(t)
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
