package seededentry

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

// documentRequest is a request to one source for its document.
type documentRequest struct {
	source string
	at     time.Time
	// sent is set once a report has carried the request.
	sent bool
}

// requestDocument requests the document of the update's source if it is newer
// than the one in force, unless another request is open and has not timed out.
func (a *Agent) requestDocument(u peergrpc.Update) {
	current := uint64(0)
	if table := a.table.Load(); table != nil {
		current = table.Version
	}
	if u.DocumentVersion <= current {
		return
	}
	a.mu.Lock()
	open := a.pending.source != "" && time.Since(a.pending.at) < documentRequestTimeout
	if !open {
		a.pending = documentRequest{source: u.Source, at: time.Now()}
	}
	a.mu.Unlock()
	if !open {
		a.watcher.WakeSource(u.Source)
	}
}

// setDocument puts a document in force if it is newer than the current one; the
// entry never returns to an older version. The first one may have to be confirmed, see Table.
func (a *Agent) setDocument(source string, content []byte) {
	table, err := a.options.Decode(content)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = documentRequest{}
	if err != nil {
		a.options.Log.Error("document not decoded", "source", source, "error", err)
		return
	}
	current := a.table.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	if current == nil {
		a.freshness.firstAt.Store(int64(a.options.Clock.Now()))
	}
	a.table.Store(table)
	a.options.Log.Info("document in force", "version", table.Version, "source", source, "routes", len(table.Routes))
}
