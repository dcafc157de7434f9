package entryrole

import (
	"math/rand/v2"

	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/transport/callerhttp"
)

const (
	// requestCapacity is the room of one entry, in requests in progress.
	requestCapacity = 8 << 10
	// streamRetryReserve is the number of retries of streams that may be
	// saved up: a lost engine takes all its streams at once.
	streamRetryReserve = 200
)

// callers is the part of the entry that serves callers.
type callers struct {
	server   *callerhttp.Server
	services *servicecall.Protocol
}

// newCallers assembles the caller API.
func (e *entry) newCallers(d *deployment.Deployment) callers {
	outliers := outlier.NewSet(e.clock)
	services := servicecall.New(servicecall.Options{
		Entry:       e.self.Name,
		Incarnation: e.incarnation,
		Zone:        e.self.Zone,
		Clock:       e.clock,
		Settings:    &e.settings,
		Ledger:      e.control,
		Services:    e.backends,
		OldSystem:   e.backends,
		Outliers:    outliers,
		Budget:      retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:      rand.Float64,
	})
	requests := request.New(request.Options{
		Zone:     e.self.Zone,
		Clock:    e.clock,
		Tracker:  e.tracker,
		Picker:   routing.LeastRequests{},
		Engines:  e.backends,
		Outliers: outliers,
		Budget:   retry.NewBudget(retry.DefaultShare, streamRetryReserve),
		Random:   rand.Float64,
	})
	server := callerhttp.New(callerhttp.Options{
		Zone:      e.self.Zone,
		Directory: &staticDirectory{entry: e, entries: d.Entries},
		Settings:  &e.settings,
		Lease:     e.lease,
		Requests:  requests,
		Services:  services,
		Gate:      limit.NewGate(requestCapacity),
		Leaving:   e.leaving,
		Log:       e.log,
	})
	return callers{server: server, services: services}
}

// staticDirectory lists the entries of the deployment file; of their states
// it knows only this entry's own.
type staticDirectory struct {
	entry   *entry
	entries []deployment.Entry
}

// Members implements callerhttp.Directory.
func (s *staticDirectory) Members() []member.Member {
	out := make([]member.Member, 0, len(s.entries))
	for _, e := range s.entries {
		m := member.Member{Name: e.Name, Zone: e.Zone, CallerAddress: e.CallerAddress, State: member.Live}
		if e.Name == s.entry.self.Name && s.entry.isLeaving() {
			m.State = member.Leaving
		}
		out = append(out, m)
	}
	return out
}
