package peergrpc

import (
	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// setPeers replaces the entries that take requests from others, given those that accept new
// work. The caller holds the lock.
func (h *FleetHub) setPeers(ready []*EntryInfo) {
	peers := make([]forward.Peer, 0, len(ready))
	for _, info := range ready {
		if info.ForwardAddress != "" {
			peers = append(peers, forward.Peer{
				Name: info.Name, Address: info.ForwardAddress, TakesWorkspaces: info.TakesWorkspaces, Unreachable: info.UnreachableServices,
			})
		}
	}
	peers = forward.Sorted(peers)
	h.peers.Store(&peers)
}

// setForwardPeers adds to an update what changed in the peers since those that were sent.
// Either list is nil if there is none.
func setForwardPeers(update *peerpb.FleetUpdate, sent, next *[]forward.Peer) {
	if next == nil || next == sent {
		return
	}
	change := forward.Change{Whole: true, Peers: *next}
	if sent != nil {
		change = forward.Difference(*sent, *next)
	}
	update.ForwardPeersWhole, update.ForwardPeersRemoved = change.Whole, change.Removed
	for _, p := range change.Peers {
		update.ForwardPeers = append(update.ForwardPeers, &peerpb.ForwardPeer{
			Name: p.Name, Address: p.Address, TakesWorkspaces: p.TakesWorkspaces, UnreachableServices: p.Unreachable,
		})
	}
}

func toForwardPeers(m *peerpb.FleetUpdate) forward.Change {
	change := forward.Change{Whole: m.GetForwardPeersWhole(), Removed: m.GetForwardPeersRemoved()}
	for _, p := range m.GetForwardPeers() {
		change.Peers = append(change.Peers, forward.Peer{
			Name: p.GetName(), Address: p.GetAddress(), TakesWorkspaces: p.GetTakesWorkspaces(), Unreachable: p.GetUnreachableServices(),
		})
	}
	return change
}
