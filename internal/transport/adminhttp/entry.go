package adminhttp

import (
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
)

// EntryServer serves the settings that an entry has in force, at the entry's
// administration address. The response holds no operators, so that requests need
// no token.
type EntryServer struct {
	Name   string
	Agent  *settingsync.Agent
	Holder *lease.Holder
}

// Register adds the entry's endpoints to mux.
func (e *EntryServer) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", e.settings)
}

func (e *EntryServer) settings(w http.ResponseWriter, _ *http.Request) {
	c := e.Agent.Settings().Load()
	_ = writeJSON(w, http.StatusOK, EntryAnswer{
		Name:     e.Name,
		Lease:    e.Holder.Valid(),
		Version:  c.Version,
		Settings: c,
		Members:  e.Agent.Directory().Members(),
	})
}
