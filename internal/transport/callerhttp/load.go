package callerhttp

import (
	"encoding/json"
	"net/http"
)

// EntryLoad is an entry's own load, as other entries ask for it.
type EntryLoad struct {
	// InFlight counts requests in progress.
	InFlight int64 `json:"in_flight"`
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(EntryLoad{InFlight: s.Gate.Total()})
}
