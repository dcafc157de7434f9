package adminhttp

import (
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
)

// Entry serves what an entry has in force at its administration address. The
// answer holds no operators, so that it needs no token.
type Entry struct {
	Name   string
	Agent  *settingsync.Agent
	Holder *lease.Holder
}

// Register adds the entry's answers to mux.
func (e *Entry) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", e.settings)
}

func (e *Entry) settings(w http.ResponseWriter, _ *http.Request) {
	c := e.Agent.Settings().Load()
	_ = writeJSON(w, http.StatusOK, EntryAnswer{
		Name:     e.Name,
		Lease:    e.Holder.Valid(),
		Version:  c.Version,
		Settings: c,
		Members:  e.Agent.Directory().Members(),
	})
}
