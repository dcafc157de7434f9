package adminhttp

import (
	"maps"
	"net/http"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ operator) error {
	var c *settings.Configuration
	s.Store.View(func(tree *settings.Tree, _ *ledger.Ledger) { c = tree.Configuration() })
	view := s.Log.View()
	answer := StatusAnswer{
		Replica: ReplicaStatus{
			ID:            view.ReplicaID,
			ClusterID:     view.ClusterID,
			Term:          view.Term,
			LeaderID:      view.LeaderID,
			LeaderAddress: view.LeaderAddress,
			Voters:        view.Voters,
			CommitIndex:   view.CommitIndex,
			AppliedIndex:  view.AppliedIndex,
		},
		Settings:   s.Tracker.Report(c.Version),
		Members:    []MemberStatus{},
		LeavingVMs: []string{},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Members)) {
		answer.Members = append(answer.Members, s.memberStatus(c.Members[name]))
	}
	for _, address := range slices.Sorted(maps.Keys(c.VMs)) {
		if c.VMs[address].Leaving {
			answer.LeavingVMs = append(answer.LeavingVMs, address)
		}
	}
	return writeJSON(w, http.StatusOK, answer)
}

func (s *Server) memberStatus(m member.Member) MemberStatus {
	status := MemberStatus{Member: m, RenewedMillisAgo: -1}
	if at, version, ok := s.Tracker.Seen(m.Name, m.Incarnation); ok {
		status.SettingsVersion = version
		status.RenewedMillisAgo = s.Clock.Now().Sub(at).Milliseconds()
	}
	return status
}
