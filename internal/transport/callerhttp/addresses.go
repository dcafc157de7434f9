package callerhttp

import (
	"encoding/json"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

// AddressAnswer lists addresses in the order a caller should try them.
type AddressAnswer struct {
	// Addresses are IP:port of entries, or base URLs of the old system.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may keep the answer.
	TTLSeconds float64 `json:"ttl_s"`
}

// addresses answers with the entries for the caller's zone, which it may name
// in the query, or with the old system's addresses if the caller belongs
// there. Without a lease this entry may not know who left, and its answer
// could name an entry that no longer accepts.
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

func (s *Server) callerZone(r *http.Request) string {
	if zone := r.URL.Query().Get("zone"); zone != "" {
		return zone
	}
	return s.Zone
}
