// Package entryrole assembles the entry process.
package entryrole

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/admission"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	// loadInterval is the interval at which engines' load reports are read.
	loadInterval = 500 * time.Millisecond
	// deregisterTimeout bounds the command that deregisters a stopping entry.
	deregisterTimeout = 2 * time.Second
)

// entry is the state of a running entry process.
type entry struct {
	self        deployment.Entry
	incarnation uint64
	clock       clock.Clock
	control     *peergrpc.ControlClient
	keys        *serve.Keys
	agent       *settingsync.Agent
	lease       *lease.Holder
	gate        *lease.Gate
	tracker     *routing.Tracker
	admission   *admission.Controller
	backends    *backendhttp.Client
	metrics     *telemetry.Metrics
	// leaving is closed when the entry starts to leave.
	leaving chan struct{}
	// longestTTL is the longest TTL of address answers, in nanoseconds, in any
	// settings that were in force here.
	longestTTL atomic.Int64
	log        hclog.Logger
}

// Run runs the entry process with the given name until ctx ends and the entry
// has left.
func Run(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error {
	self, err := d.FindEntry(name)
	if err != nil {
		return err
	}
	keys, err := serve.OpenKeys(d, name, log)
	if err != nil {
		return err
	}
	control, err := peergrpc.DialControl(d.PeerAddresses(), keys.PeerClient())
	if err != nil {
		return err
	}
	defer control.Close()
	e := newEntry(self, control, keys, log)
	if err := e.agent.Start(ctx); err != nil {
		return fmt.Errorf("start entry %s: %w", name, err)
	}
	defer e.deregister()
	log.Info("entry started", "caller_address", self.CallerAddress, "settings_version", e.agent.Settings().Load().Version)
	return e.run(ctx)
}

func newEntry(self deployment.Entry, control *peergrpc.ControlClient, keys *serve.Keys, log hclog.Logger) *entry {
	c := clock.Boot{}
	e := &entry{
		self:        self,
		incarnation: uint64(c.Now()),
		clock:       c,
		control:     control,
		keys:        keys,
		lease:       lease.NewHolder(c),
		tracker:     routing.NewTracker(c),
		backends:    backendhttp.New(),
		metrics:     telemetry.NewMetrics("entry", self.Name, log),
		leaving:     make(chan struct{}),
		log:         log,
	}
	e.gate = lease.NewGate(e.lease)
	e.agent = e.newSettingsAgent()
	e.admission = admission.New(admission.Options{
		Picker:  routing.NewPredictive(e.incarnation),
		Clock:   c,
		Tracker: e.tracker,
		Entries: e.liveEntries,
	})
	return e
}

// liveEntries returns the number of entries that share the engines.
func (e *entry) liveEntries() int {
	return len(e.agent.Directory().Live())
}
