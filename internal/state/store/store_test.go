package store

import (
	"bytes"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

var modelContents = []string{
	"",
	`{"role_price":1,"engines":{"e":{"url":"http://127.0.0.1:1","zone":"a","authority":"lagoonshift"}}}`,
	`{"role_price":2,"engines":{"f":{"url":"http://127.0.0.1:1","zone":"a","authority":"lagoonshift"}}}`,
	`{"role_price":3,"engines":{"f":{"url":"http://127.0.0.2:1","zone":"b","authority":"lagoonshift"}}}`,
	`{"role_price":-1}`,
	`{"role_price":1,"engines":{},}`,
	`nonsense`,
}

var teamContents = []string{
	"",
	`{"classes":{"c":{"model":"m","expected_wait":"1s","worth":1}}}`,
	`{"classes":{"c":{"model":"n","expected_wait":"1s","worth":1}}}`,
	`{"classes":{"c":{"model":"n","expected_wait":"1s","worth":0}}}`,
}

var (
	operatorNames = []string{"root", "o"}
	tokenHashes   = []string{settings.HashToken("root"), settings.HashToken("o")}
)

// drawCommand draws a settings command. It uses only a few names, so that
// commands often concern the same subtree.
func drawCommand(t *rapid.T, versions map[string]uint64) Command {
	entry := rapid.SampledFrom([]string{"entry-1", "entry-2"})
	incarnation := rapid.Uint64Range(1, 3)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		zones := rapid.SampledFrom([][]string{{"a"}, {"a", "b"}}).Draw(t, "zones")
		return Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: tokenHashes[0], Zones: zones}}
	case 1:
		m := member.Member{Name: entry.Draw(t, "name"), Incarnation: incarnation.Draw(t, "incarnation")}
		return Command{Register: &member.Register{Member: m, Replaces: rapid.Uint64Range(0, 3).Draw(t, "replaces")}}
	case 2:
		gone := rapid.Bool().Draw(t, "gone")
		return Command{Retire: &member.Retire{Name: entry.Draw(t, "name"), Incarnation: incarnation.Draw(t, "incarnation"), Gone: gone}}
	case 3:
		run := rapid.Uint64Range(1, 2).Draw(t, "run")
		return Command{Observe: []member.Observation{{Address: "127.0.0.1", Incarnation: run, Leaving: rapid.Bool().Draw(t, "leaving")}}}
	}
	by := rapid.IntRange(0, 1).Draw(t, "operator")
	change := settings.Change{Operator: operatorNames[by], TokenSHA256: tokenHashes[by], Number: rapid.Uint64Range(1, 90).Draw(t, "number")}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		path := rapid.SampledFrom([]string{"models/m", "models/n", "operators/o", "teams/t"}).Draw(t, "path")
		content := rapid.SampledFrom(modelContents).Draw(t, "content")
		if path == "operators/o" {
			content = fmt.Sprintf(`{"token_sha256":%q,"subtrees":["models"]}`, tokenHashes[1])
		}
		if path == "teams/t" {
			content = rapid.SampledFrom(teamContents).Draw(t, "team")
		}
		base := versions[path]
		if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
			base = rapid.Uint64Range(0, 20).Draw(t, "base")
		}
		change.Edits = append(change.Edits, settings.Edit{Path: path, BaseVersion: base, Content: []byte(content)})
	}
	return Command{Change: &change}
}

// TestReplicasAgree applies random commands to a replica that never restarts
// and to one that is sometimes restored from its snapshot. A reader follows
// the second one through updates. Results and snapshots of both replicas and
// the configuration of the reader must be equal.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steady, restored := New(), New()
		reader := &settings.Configuration{}
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 60).Draw(t, "commands")); index++ {
			command := drawCommand(t, subtreeVersions(steady))
			encoded, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if !IsSettingsCommand(encoded) {
				t.Fatalf("IsSettingsCommand(%+v) = false, want true", command)
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				restored = restoreFromSnapshot(t, restored)
			}
			if a, b := steady.Apply(index, encoded), restored.Apply(index, encoded); !bytes.Equal(a, b) {
				t.Fatalf("results differ at index %d: %x without restarts, %x with restarts", index, a, b)
			}
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				reader = readUpdate(t, restored, reader)
			}
		}
		checkSnapshotsEqual(t, steady, restored)
		checkReader(t, steady, readUpdate(t, restored, reader))
	})
}

func subtreeVersions(s *Store) map[string]uint64 {
	out := make(map[string]uint64)
	s.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		for path, subtree := range tree.Subtrees {
			out[path] = subtree.Version
		}
	})
	return out
}

func restoreFromSnapshot(t *rapid.T, s *Store) *Store {
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}

func readUpdate(t *rapid.T, s *Store, have *settings.Configuration) *settings.Configuration {
	var update settings.Update
	s.View(func(tree *settings.Tree, _ *ledger.Ledger) { update = tree.UpdateSince(have.Version) })
	next, err := update.Apply(have)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func checkSnapshotsEqual(t *rapid.T, a, b *Store) {
	first, err := a.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Fatal("snapshots of two replicas differ")
	}
}

// checkReader compares the configuration of a reader that was built from
// updates with that of the replica.
func checkReader(t *rapid.T, s *Store, reader *settings.Configuration) {
	s.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		want := tree.Configuration()
		if err := want.Check(); err != nil {
			t.Fatalf("the replica's configuration is not valid: %v", err)
		}
		same := reader.Version == want.Version && maps.EqualFunc(reader.Models, want.Models, func(a, b settings.Model) bool { return reflect.DeepEqual(a, b) }) &&
			maps.Equal(reader.Members, want.Members) && maps.EqualFunc(reader.VMs, want.VMs, func(a, b member.VM) bool { return reflect.DeepEqual(a, b) }) &&
			reader.ClosedToNewWork("http://127.0.0.1:1") == want.ClosedToNewWork("http://127.0.0.1:1")
		if !same || len(reader.Operators) != 0 {
			t.Fatalf("reader has %+v, want %+v without operators", reader, want)
		}
	})
}

func TestUndecodableSettingsCommandAdvancesVersion(t *testing.T) {
	encoded, err := cbor.Marshal(map[int]any{1: "no change"})
	if err != nil {
		t.Fatal(err)
	}
	s := New()
	if !IsSettingsCommand(encoded) {
		t.Fatal("IsSettingsCommand = false for an undecodable settings command, want true")
	}
	if _, err := DecodeResult(s.Apply(7, encoded)); err == nil {
		t.Error("Apply returned no error for an undecodable command")
	}
	s.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		if tree.Version != 7 {
			t.Errorf("version = %d, want 7; no lease could be renewed with a lower one", tree.Version)
		}
	})
}
