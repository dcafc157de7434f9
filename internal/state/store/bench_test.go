package store

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// treeSize is the number of subtrees, engines and entries in a settings tree.
type treeSize struct {
	teams, models, engines, entries int
}

var (
	// currentSize is about the size of one of today's deployments. targetSize
	// is the size expected in two years.
	currentSize = treeSize{teams: 3, models: 1, engines: 18, entries: 8}
	targetSize  = treeSize{teams: 3300, models: 14, engines: 2800, entries: 400}
)

// populate returns a state with a tree of the given size and the last log
// index.
func populate(b *testing.B, size treeSize) (s *Store, index uint64) {
	s = New()
	apply := func(c *Command) {
		index++
		encoded, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		result, err := DecodeResult(s.Apply(index, encoded))
		if err != nil || result.Change != nil && result.Change.Outcome != settings.Accepted {
			b.Fatalf("%+v, %v", result.Change, err)
		}
	}
	apply(&Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: settings.HashToken("root"), Zones: []string{"a"}}})
	apply(&Command{Change: fullTreeChange(size)})
	for i := range size.entries {
		apply(&Command{Register: &member.Register{Member: member.Member{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1, Zone: "a", CallerAddress: "10.0.0.1:8080"}}})
	}
	return s, index
}

func fullTreeChange(size treeSize) *settings.Change {
	change := &settings.Change{Operator: "root", TokenSHA256: settings.HashToken("root"), Number: 1}
	add := func(path, content string) {
		change.Edits = append(change.Edits, settings.Edit{Path: path, Content: []byte(content)})
	}
	each := size.engines / size.models
	for m := range size.models {
		engines := ""
		for e := range each {
			n := m*each + e
			engines += fmt.Sprintf(`,"engine-%d":{"url":"http://10.1.%d.%d:9000","zone":"a","checks_fencing":true,"authority":"lagoonshift"}`, n, n/250, n%250)
		}
		add(fmt.Sprintf("models/model-%d", m), `{"role_price":2,"engines":{`+engines[1:]+`}}`)
	}
	for t := range size.teams {
		add(fmt.Sprintf("teams/team-%d", t), teamContent(1))
	}
	for o := range max(1, size.teams/10) {
		add(fmt.Sprintf("operators/operator-%d", o), fmt.Sprintf(`{"token_sha256":%q,"subtrees":["teams"]}`, settings.HashToken(fmt.Sprint(o))))
	}
	return change
}

func teamContent(worth int) string {
	return fmt.Sprintf(`{"classes":{"quote":{"model":"model-0","expected_wait":"20s","worth":%d,"priority":10},"triage":{"model":"model-0","expected_wait":"2s","worth":3}},"customers":{"north":{"share":1,"max_concurrent":40},"south":{"share":2}}}`, worth)
}

// BenchmarkChanges applies changes of one team each, by many operators, and
// reports the heap size before and after, and the sizes of the snapshot, of a
// full update and of the update for one change.
func BenchmarkChanges(b *testing.B) {
	for name, size := range map[string]treeSize{"today": currentSize, "target": targetSize} {
		b.Run(name, func(b *testing.B) {
			s, index := populate(b, size)
			operators := max(1, size.teams/10)
			versions := make([]uint64, size.teams)
			for t := range versions {
				versions[t] = 2
			}
			before := heapBytes()
			b.ResetTimer()
			for n := 0; b.Loop(); n++ {
				index++
				t := n % size.teams
				o := n % operators
				c := Command{Change: &settings.Change{
					Operator:    fmt.Sprintf("operator-%d", o),
					TokenSHA256: settings.HashToken(fmt.Sprint(o)),
					Number:      uint64(n) + 1,
					Edits:       []settings.Edit{{Path: fmt.Sprintf("teams/team-%d", t), BaseVersion: versions[t], Content: []byte(teamContent(n + 1))}},
				}}
				encoded, err := c.Encode()
				if err != nil {
					b.Fatal(err)
				}
				result, err := DecodeResult(s.Apply(index, encoded))
				if err != nil || result.Change.Outcome != settings.Accepted {
					b.Fatalf("%+v, %v", result.Change, err)
				}
				versions[t] = index
			}
			b.StopTimer()
			after := heapBytes()
			snapshot, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(before/1e6, "MB-before")
			b.ReportMetric(after/1e6, "MB-after")
			b.ReportMetric(float64(len(snapshot))/1e6, "MB-snapshot")
			b.ReportMetric(float64(s.updateBytes(0))/1e6, "MB-whole-update")
			b.ReportMetric(float64(s.updateBytes(index-1)), "B-one-change")
		})
	}
}

// updateBytes returns the size of the update since a version, without framing,
// in bytes.
func (s *Store) updateBytes(have uint64) (bytes int) {
	s.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		update := tree.UpdateSince(have)
		for _, subtree := range update.Subtrees {
			bytes += len(subtree.Path) + len(subtree.Content)
		}
	})
	return bytes
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkEntryUpdate applies an update of one team at an entry.
func BenchmarkEntryUpdate(b *testing.B) {
	for name, size := range map[string]treeSize{"today": currentSize, "target": targetSize} {
		b.Run(name, func(b *testing.B) {
			s, _ := populate(b, size)
			var full settings.Update
			s.View(func(tree *settings.Tree, _ *ledger.Ledger) { full = tree.UpdateSince(0) })
			c, err := full.Apply(nil)
			if err != nil {
				b.Fatal(err)
			}
			change := settings.Update{Version: c.Version + 1, Subtrees: []settings.SubtreeUpdate{{Path: "teams/team-1", Content: []byte(teamContent(7))}}}
			for b.Loop() {
				if _, err := change.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSince builds the update for one change, as sent to an entry.
func BenchmarkSince(b *testing.B) {
	for name, size := range map[string]treeSize{"today": currentSize, "target": targetSize} {
		b.Run(name, func(b *testing.B) {
			s, index := populate(b, size)
			for b.Loop() {
				s.updateBytes(index - 1)
			}
		})
	}
}
