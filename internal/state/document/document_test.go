package document_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
)

// TestHighestVersionWins applies drawn changes in any order: what is held is
// the first content that was sent under the highest version.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var held document.Document
		var want document.Document
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			p := document.Put{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Content: []byte{byte(i)}}
			next, result := held.Apply(p)
			if p.Version > want.Version {
				want = document.Document(p)
			}
			if accepted := p.Version > held.Version; result.Accepted != accepted || result.CurrentVersion != want.Version {
				t.Fatalf("put version %d on %d: %+v", p.Version, held.Version, result)
			}
			held = next
			if held.Version != want.Version || string(held.Content) != string(want.Content) {
				t.Fatalf("held %+v, want %+v", held, want)
			}
		}
	})
}
