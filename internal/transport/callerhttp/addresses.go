package callerhttp

import (
	"encoding/json"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

// AddressAnswer lists addresses in the order in which a caller should try them.
type AddressAnswer struct {
	// Addresses holds either IP:port pairs of entries or base URLs of the old
	// system.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may cache the answer, in seconds.
	TTLSeconds float64 `json:"ttl_s"`
}

// addresses handles GET /v1/addresses. It returns the entries in order of
// preference for the caller's zone, or the addresses of the old system if the
// settings route the caller there. An entry without a lease refuses: its member
// list may be stale and name entries that no longer accept requests.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	if !s.Lease.Valid() {
		refuse(w, noLease(refusal.ExecutedNo))
		return
	}
	config := s.Settings.Load()
	answer := AddressAnswer{TTLSeconds: config.System.AddressTTL.Std().Seconds()}
	caller := address.Caller{Team: r.Header.Get(HeaderTeam), Class: r.Header.Get(HeaderClass), Customer: r.Header.Get(HeaderCustomer)}
	if len(config.System.OldSystem) > 0 && address.ToOldSystem(config, caller) {
		answer.Addresses = config.System.OldSystem
	} else {
		answer.Addresses = address.Order(s.Directory.Members(), s.callerZone(r), s.Loads, s.addressRequests.Add(1))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// callerZone returns the zone from the query parameter "zone", or this entry's
// zone if the caller gave none.
func (s *Server) callerZone(r *http.Request) string {
	if zone := r.URL.Query().Get("zone"); zone != "" {
		return zone
	}
	return s.Zone
}
