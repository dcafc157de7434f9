package peergrpc

import (
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

// reportedHolding is a holding and the watch of the entry that reported it.
type reportedHolding struct {
	reporter *entryWatch
	holding  prefixdir.Holding
}

// recordHoldings keeps the holdings that an entry reported for the others.
func (h *FleetHub) recordHoldings(w *entryWatch, holdings []prefixdir.Holding) {
	if len(holdings) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holding := range holdings {
		h.holdings = append(h.holdings, reportedHolding{reporter: w, holding: holding})
	}
	if excess := len(h.holdings) - maxKeptHoldings; excess > 0 {
		h.holdings = slices.Delete(h.holdings, 0, excess)
		h.droppedHoldings += excess
	}
}

// unsentHoldings returns what other entries reported since the last call for w:
// the newest holding of each prefix, unless w reported a newer one itself. The first call returns all that are
// kept, so that an entry that has just started knows where prefixes are cached.
func (h *FleetHub) unsentHoldings(w *entryWatch) []prefixdir.Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []prefixdir.Holding
	seen := make(map[string]bool)
	for _, t := range slices.Backward(h.holdings[max(0, w.nextHolding-h.droppedHoldings):]) {
		if !seen[t.holding.Part] && t.reporter != w {
			out = append(out, t.holding)
		}
		seen[t.holding.Part] = true
	}
	slices.Reverse(out)
	w.nextHolding = h.droppedHoldings + len(h.holdings)
	return out
}
