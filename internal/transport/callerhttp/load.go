package callerhttp

import (
	"encoding/json"
	"net/http"
)

// EntryLoad is the load that an entry reports to other entries.
type EntryLoad struct {
	// InFlight is the number of requests in progress.
	InFlight int64 `json:"in_flight"`
}

// load handles GET /v1/load.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(EntryLoad{InFlight: s.Gate.Total()})
}
