package entryrole

import (
	"math/rand/v2"

	"github.com/lagoonshift/lagoonshift/internal/coordination/member"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/callerhttp"
)

const (
	// requestCapacity is the number of requests that one entry may have in
	// progress.
	requestCapacity = 8 << 10
	// streamRetryReserve is the number of stream retries that the budget may
	// accumulate: when an engine is lost, all its streams fail at once.
	streamRetryReserve = 200
)

// callerAPI is the part of the entry that serves callers.
type callerAPI struct {
	server   *callerhttp.Server
	services *servicecall.Protocol
	peers    *peerLoads
}

// newCallerAPI assembles the caller API.
func (e *entry) newCallerAPI() callerAPI {
	services := servicecall.New(servicecall.Options{
		Entry:       e.self.Name,
		Incarnation: e.incarnation,
		Zone:        e.self.Zone,
		Clock:       e.clock,
		Settings:    e.agent.Settings(),
		Gate:        e.gate,
		Ledger:      e.control,
		Services:    e.backends,
		Holders:     holders{directory: e.agent.Directory()},
		OldSystem:   e.backends,
		Outliers:    outlier.NewSet(e.clock),
		Budget:      retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:      rand.Float64,
	})
	requests := request.New(request.Options{
		Zone:     e.self.Zone,
		Clock:    e.clock,
		Settings: e.agent.Settings(),
		Gate:     e.gate,
		Tracker:  e.tracker,
		Picker:   e.admission,
		Engines:  e.backends,
		Outliers: outlier.NewSet(e.clock),
		Budget:   retry.NewBudget(retry.DefaultShare, streamRetryReserve),
		Random:   rand.Float64,
		Observer: observer{requests: telemetry.NewRequests(e.metrics.Scope)},
	})
	gate := limit.NewGate(requestCapacity)
	peers := &peerLoads{
		self:      e.self.Name,
		zone:      e.self.Zone,
		gate:      gate,
		members:   e.agent.Directory().Members,
		fetchLoad: e.backends.EntryLoad,
	}
	server := callerhttp.New(callerhttp.Options{
		Zone:      e.self.Zone,
		Directory: e.agent.Directory(),
		Settings:  e.agent.Settings(),
		Lease:     e.lease,
		Requests:  requests,
		Services:  services,
		Loads:     peers.load,
		Gate:      gate,
		Leaving:   e.leaving,
		Log:       e.log,
	})
	return callerAPI{server: server, services: services, peers: peers}
}

// holders determines from the member table which incarnations of entries have
// ended. An incarnation that is not in the table may only be suspended and may
// resume later. So a call is never executed again on this evidence; its callers
// only get their answer sooner.
type holders struct {
	directory *member.Directory
}

// Gone implements servicecall.Holders.
func (h holders) Gone(entry string, incarnation uint64) bool {
	for _, m := range h.directory.Members() {
		if m.Name == entry && m.Incarnation == incarnation {
			return false
		}
	}
	return true
}
