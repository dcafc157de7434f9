package peergrpc

import (
	"math"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// maxReportedUses bounds what is taken of one report. An entry sends at most 65 items for each
// saturated service.
const maxReportedUses = 1024

// workspaceUses sums up what entries report of workspaces. It is safe for concurrent use.
type workspaceUses struct {
	mu  sync.Mutex // guards the fields below
	sum *fairshare.Sum
	// reported holds the newest report of each watch that has any.
	reported map[*entryWatch][]fairshare.Use
}

// remove drops what an entry that has left had reported. A report of it that is read later is
// ignored.
func (s *workspaceUses) remove(w *entryWatch) {
	s.mu.Lock()
	w.left = true
	s.mu.Unlock()
	s.set(w, nil)
}

// set replaces what an entry reported.
func (s *workspaceUses) set(w *entryWatch, uses []*peerpb.WorkspaceUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, newer := s.reported[w], toWorkspaceUses(uses)
	if w.left {
		newer = nil
	}
	if len(earlier) == 0 && len(newer) == 0 {
		return
	}
	if s.sum == nil {
		s.sum, s.reported = fairshare.NewSum(), make(map[*entryWatch][]fairshare.Use)
	}
	s.sum.Replace(earlier, newer)
	if len(newer) == 0 {
		delete(s.reported, w)
		return
	}
	s.reported[w] = newer
}

// others returns the uses of all entries except one.
func (s *workspaceUses) others(w *entryWatch) []*peerpb.WorkspaceUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sum == nil {
		return nil
	}
	return fromWorkspaceUses(s.sum.Without(time.Now(), s.reported[w]))
}

func fromWorkspaceUses(uses []fairshare.Use) []*peerpb.WorkspaceUse {
	if len(uses) == 0 {
		return nil
	}
	out := make([]*peerpb.WorkspaceUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, &peerpb.WorkspaceUse{Service: u.Service, Workspace: u.Workspace, Asked: toUnits(u.Asked), Granted: toUnits(u.Granted)})
	}
	return out
}

// toUnits rounds cost units per second to the nearest number.
func toUnits(units float64) uint64 { return uint64(math.Round(max(0, units))) }

// toWorkspaceUses returns the uses of a message, with one use for each workspace.
func toWorkspaceUses(uses []*peerpb.WorkspaceUse) []fairshare.Use {
	if len(uses) == 0 {
		return nil
	}
	type key struct{ service, workspace string }
	seen := make(map[key]bool, len(uses))
	out := make([]fairshare.Use, 0, len(uses))
	for _, u := range uses[:min(len(uses), maxReportedUses)] {
		k := key{u.GetService(), u.GetWorkspace()}
		if seen[k] {
			continue
		}
		seen[k] = true
		out = append(out, fairshare.Use{Service: k.service, Workspace: k.workspace, Asked: float64(u.GetAsked()), Granted: float64(u.GetGranted())})
	}
	return out
}
