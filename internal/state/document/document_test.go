package document_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
)

// TestHighestVersionWins applies Puts with random versions: the document must
// be the first one that was put with the highest version.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current document.Document
		var want document.Document
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			p := document.Put{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Content: []byte{byte(i)}}
			next, result := current.Apply(p)
			if p.Version > want.Version {
				want = document.Document(p)
			}
			if accepted := p.Version > current.Version; result.Accepted != accepted || result.CurrentVersion != want.Version {
				t.Fatalf("Put of version %d on version %d returned wrong result %+v", p.Version, current.Version, result)
			}
			current = next
			if current.Version != want.Version || string(current.Content) != string(want.Content) {
				t.Fatalf("document = %+v, want %+v", current, want)
			}
		}
	})
}
