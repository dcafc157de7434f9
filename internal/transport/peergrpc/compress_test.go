package peergrpc

import (
	"bytes"
	"errors"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func TestDocumentSurvivesCompression(t *testing.T) {
	var c compressedDocument
	for version, content := range [][]byte{{}, []byte("{}"), bytes.Repeat([]byte(`{"name":"route"},`), 50000)} {
		compressed, err := c.of(document.Document{Version: uint64(version), Content: content})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decompressDocument(compressed)
		if err != nil || !bytes.Equal(got, content) {
			t.Errorf("version %d: got %d bytes, error %v, want %d bytes", version, len(got), err, len(content))
		}
	}
	if _, err := decompressDocument([]byte("not compressed")); err == nil {
		t.Error("invalid input gave no error")
	}
	large, err := c.of(document.Document{Version: 9, Content: make([]byte, maxUncompressedBytes+1)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decompressDocument(large); !errors.Is(err, errTooLarge) {
		t.Errorf("got error %v, want %v", err, errTooLarge)
	}
}

// TestDocumentIsSharedByUpdates checks that the updates of hundreds of entries
// carry one copy of a large document, a tenth of its size.
func TestDocumentIsSharedByUpdates(t *testing.T) {
	h := newTestHub()
	content := bytes.Repeat([]byte(`{"name":"r-h2b9wu3","path":"/pufi791/","timeout":"8s"},`), 4000)
	h.options.Document = func() document.Document { return document.Document{Version: 3, Content: content} }
	var first []byte
	for range 200 {
		w := &entryWatch{}
		h.handleReport(w, &peerpb.EntryReport{Name: "entry", WantDocument: true})
		update, _ := h.update(w, sentState{})
		got := update.GetDocument()
		if first == nil {
			first = got
		}
		if len(got) == 0 || len(got) > len(content)/10 || &got[0] != &first[0] {
			t.Fatalf("got %d bytes for a document of %d, shared with the first update: %v", len(got), len(content), len(got) > 0 && &got[0] == &first[0])
		}
	}
}
