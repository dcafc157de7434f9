package fairshare

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// forgetTime is the time constant of the averages of demand and grants. It is long
	// enough to see a workspace with one request in some seconds, and short enough to
	// follow a change of the traffic.
	forgetTime = 4 * time.Second
	// maxWorkspaces bounds the workspaces of a service that are recorded: at about 200 bytes
	// each, 400 kB. Those with the least demand beyond it count as without a name.
	maxWorkspaces = 2048
	// negligible is the demand, in cost units per second, below which a workspace is
	// forgotten: a prompt of 1,000 tokens after 28 s.
	negligible = 0.25
	// maxRefused bounds the refused requests of a service that are remembered, and
	// refusedTime is how long: repeats come within a few seconds.
	maxRefused  = 4096
	refusedTime = 10 * time.Second
	// targetsAge is the age at which the targets are computed again: well below forgetTime.
	targetsAge = 20 * time.Millisecond
	// saturatedTime is the time after the last decision of a saturated queue for which its
	// uses are reported.
	saturatedTime = time.Second
	// maxListed is the number of workspaces that a list of uses names. One more item holds
	// the rest.
	maxListed = 64
)

// Uses records what workspaces lately asked of each service and were granted: at this
// entry, and at all others as last reported. It is safe for concurrent use.
type Uses struct {
	mu       sync.Mutex // guards services and their contents
	services map[string]*record
}

// NewUses returns an empty record.
func NewUses() *Uses { return &Uses{services: make(map[string]*record)} }

// record holds the workspaces of one service. The empty name stands for requests without a
// workspace and those of workspaces beyond maxWorkspaces.
type record struct {
	own    map[string]*use
	others map[string]Use
	// named is the number of workspaces in own that have names.
	named int
	// refused holds when requests were refused last, by their keys.
	refused map[string]time.Time
	// refusedOver counts the refused requests of workspaces above their targets.
	refusedOver int
	// saturatedAt is when the queue last decided while it was saturated.
	saturatedAt time.Time
	// shares are those computed last, at the time sharesAt.
	shares   *Shares
	sharesAt time.Time
}

// use holds moving averages in cost units per second, as they were at a time.
type use struct {
	asked, granted float64
	at             time.Time
}

func (u *use) advance(now time.Time) *use {
	if now.After(u.at) {
		left := math.Exp(-now.Sub(u.at).Seconds() / forgetTime.Seconds())
		u.asked, u.granted, u.at = u.asked*left, u.granted*left, now
	}
	return u
}

func (s *Uses) of(service string) *record {
	r := s.services[service]
	if r == nil {
		r = &record{own: make(map[string]*use), refused: make(map[string]time.Time)}
		s.services[service] = r
	}
	return r
}

// workspace returns the use of a workspace at this entry.
func (r *record) workspace(now time.Time, name string) *use {
	u := r.own[name]
	if u == nil && name != "" && r.named >= maxWorkspaces {
		r.forget(now)
		if r.named >= maxWorkspaces {
			return r.workspace(now, "")
		}
	}
	if u == nil {
		u = &use{at: now}
		r.own[name] = u
		if name != "" {
			r.named++
		}
	}
	return u.advance(now)
}

// forget drops workspaces without demand.
func (r *record) forget(now time.Time) {
	for name, u := range r.own {
		if u.advance(now); name != "" && u.asked < negligible && u.granted < negligible {
			delete(r.own, name)
			r.named--
		}
	}
}

// Ask records that a workspace asked for a cost. A repeat of a request that this entry
// refused, which has the same key, doesn't count, and neither does one that is known to be
// a repeat. An empty key is that of no other request.
func (s *Uses) Ask(now time.Time, service, workspace, key string, repeat bool, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.of(service)
	u := r.workspace(now, workspace)
	refusedAt, refused := r.refused[workspace+"\x00"+key]
	if repeat || key != "" && refused && now.Sub(refusedAt) < refusedTime {
		return
	}
	u.asked += cost / forgetTime.Seconds()
}

// Grant records that a workspace was granted a cost.
func (s *Uses) Grant(now time.Time, service, workspace string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(service).workspace(now, workspace).granted += cost / forgetTime.Seconds()
}

// Refuse records that a request was refused.
func (s *Uses) Refuse(now time.Time, service, workspace, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.of(service)
	if r.shares.Ratio(workspace, 0) > 1 {
		r.refusedOver++
	}
	if key == "" {
		return
	}
	if len(r.refused) >= maxRefused {
		for k, at := range r.refused {
			if now.Sub(at) >= refusedTime {
				delete(r.refused, k)
			}
		}
		if len(r.refused) >= maxRefused {
			clear(r.refused) // repeats count as new requests for a moment
		}
	}
	r.refused[workspace+"\x00"+key] = now
}

// SetOthers replaces what other entries reported.
func (s *Uses) SetOthers(uses []Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		r.others = nil
	}
	for _, u := range uses {
		r := s.of(u.Service)
		if r.others == nil {
			r.others = make(map[string]Use, maxListed+1)
		}
		r.others[u.Workspace] = u
	}
}

// Report returns the uses at this entry of the services whose queues were saturated
// lately: for each the workspaces with the highest demand, and one item for the rest.
func (s *Uses) Report(now time.Time) []Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Use
	for service, r := range s.services {
		if r.named == 0 || r.saturatedAt.IsZero() || now.Sub(r.saturatedAt) > saturatedTime {
			continue
		}
		r.forget(now)
		uses := make([]Use, 0, len(r.own))
		for name, u := range r.own {
			uses = append(uses, Use{Service: service, Workspace: name, Asked: u.asked, Granted: u.granted})
		}
		out = append(out, highest(uses)...)
	}
	return out
}

// highest returns the uses of a service with the highest demand, and one that sums up the
// others.
func highest(uses []Use) []Use {
	rest := Use{}
	named := uses[:0]
	for _, u := range uses {
		rest.Service = u.Service
		if u.Workspace == "" {
			rest = rest.plus(u, 1)
			continue
		}
		named = append(named, u)
	}
	slices.SortFunc(named, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Workspace, b.Workspace))
	})
	for _, u := range named[min(maxListed, len(named)):] {
		rest = rest.plus(u, 1)
	}
	named = named[:min(maxListed, len(named))]
	if rest.Asked > 0 || rest.Granted > 0 {
		named = append(named, rest)
	}
	return named
}

// plus returns a use with the figures of another one added (sign 1) or subtracted (sign
// -1).
func (u Use) plus(other Use, sign float64) Use {
	u.Asked += sign * other.Asked
	u.Granted += sign * other.Granted
	return u
}

// Shares are the targets of workspaces at one moment. A nil *Shares has none.
type Shares struct {
	workspaces map[string]share
	// Demand and Capacity, in cost units per second, are what all workspaces ask for and
	// are granted.
	Demand, Capacity float64
	// Least is the least served fraction of a workspace with a name.
	Least float64
}

// share is what a workspace was granted and is to get.
type share struct{ granted, target float64 }

// Shares returns the targets of the workspaces of a service whose queue is saturated, or
// nil if no request had a workspace.
func (s *Uses) Shares(now time.Time, service string) *Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.services[service]
	if r == nil || r.named == 0 {
		return nil
	}
	r.saturatedAt = now
	if r.shares == nil || now.Sub(r.sharesAt) >= targetsAge {
		r.shares, r.sharesAt = r.computeShares(now), now
	}
	return r.shares
}

// computeShares takes as capacity what all workspaces were granted lately.
func (r *record) computeShares(now time.Time) *Shares {
	r.forget(now)
	totals := make(map[string]Use, len(r.own)+len(r.others))
	for name, u := range r.own {
		totals[name] = Use{Workspace: name, Asked: u.asked, Granted: u.granted}
	}
	for name, u := range r.others {
		totals[name] = totals[name].plus(u, 1)
	}
	out := &Shares{workspaces: make(map[string]share, len(totals)), Least: 1}
	names, demands := make([]string, 0, len(totals)), make([]Demand, 0, len(totals))
	leastNamed := 0.0
	for name, u := range totals {
		// Grants may run ahead of the demand, since repeats count as granted only.
		asked := max(u.Asked, u.Granted)
		names, demands = append(names, name), append(demands, Demand{Asked: asked})
		out.Demand += asked
		out.Capacity += u.Granted
		if name == "" || asked < negligible {
			continue
		}
		out.Least = min(out.Least, u.Granted/asked)
		if leastNamed == 0 || asked < leastNamed {
			leastNamed = asked
		}
	}
	for i, name := range names {
		if name == "" {
			demands[i].Members = unnamedMembers(demands[i].Asked, leastNamed)
		}
	}
	for i, target := range Targets(demands, out.Capacity) {
		out.workspaces[names[i]] = share{granted: totals[names[i]].Granted, target: target}
	}
	return out
}

// Ratio returns what a workspace was granted relative to its target: above one if it had
// more. further is a cost that it is about to be granted.
func (s *Shares) Ratio(workspace string, further float64) float64 {
	if s == nil {
		return 0
	}
	w, known := s.workspaces[workspace]
	if !known {
		return 0
	}
	granted := w.granted + further/forgetTime.Seconds()
	if granted <= 0 {
		return 0
	}
	return granted / max(w.target, negligible)
}

// Wait returns how long it takes, without further grants, until a workspace has no more
// than its target.
func (s *Shares) Wait(workspace string) time.Duration {
	ratio := s.Ratio(workspace, 0)
	if ratio <= 1 {
		return 0
	}
	return time.Duration(math.Log(ratio) * float64(forgetTime))
}

// Served returns the fraction of all demand that is granted.
func (s *Shares) Served() float64 {
	if s == nil || s.Demand <= 0 {
		return 1
	}
	return min(1, s.Capacity/s.Demand)
}

// Workspaces returns the number of workspaces with demand.
func (s *Shares) Workspaces() int {
	if s == nil {
		return 0
	}
	return len(s.workspaces)
}

// Status describes the sharing of a service for operators.
type Status struct {
	// Saturated is set if the queue was saturated lately. The fields after it are those of
	// the newest decision.
	Saturated bool
	// Workspaces counts those with demand, and Demand and Capacity, in cost units per
	// second, are those of all entries.
	Workspaces       int
	Demand, Capacity float64
	// Served is the fraction of all demand that is granted, and Least that of the workspace
	// that has least.
	Served, Least float64
	// RefusedOver counts the refused requests of workspaces above their targets since the
	// start.
	RefusedOver int
}

// Status returns the sharing of each service that was ever saturated.
func (s *Uses) Status(now time.Time) map[string]Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Status)
	for service, r := range s.services {
		if r.shares == nil {
			continue
		}
		out[service] = Status{
			Saturated:   now.Sub(r.saturatedAt) <= saturatedTime,
			Workspaces:  r.shares.Workspaces(),
			Demand:      r.shares.Demand,
			Capacity:    r.shares.Capacity,
			Served:      r.shares.Served(),
			Least:       r.shares.Least,
			RefusedOver: r.refusedOver,
		}
	}
	return out
}
