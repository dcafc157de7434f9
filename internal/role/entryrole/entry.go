// Package entryrole assembles the entry process.
package entryrole

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/coordination/settingsync"
	"github.com/lagoonshift/lagoonshift/internal/deployment"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/role/serve"
	"github.com/lagoonshift/lagoonshift/internal/telemetry"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/callerhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	loadInterval = 500 * time.Millisecond
	// deregisterTimeout bounds the last command of a stop.
	deregisterTimeout = 2 * time.Second
)

// entry is the state of a running entry process.
type entry struct {
	self        deployment.Entry
	incarnation uint64
	clock       clock.Clock
	control     *peergrpc.ControlClient
	agent       *settingsync.Agent
	lease       *lease.Holder
	gate        *lease.Gate
	tracker     *routing.Tracker
	backends    *backendhttp.Client
	metrics     *telemetry.Metrics
	log         hclog.Logger
}

// Run runs an entry process until ctx ends.
func Run(ctx context.Context, d *deployment.Deployment, name string, log hclog.Logger) error {
	self, err := d.FindEntry(name)
	if err != nil {
		return err
	}
	control, err := peergrpc.DialControl(peerAddresses(d))
	if err != nil {
		return err
	}
	defer control.Close()
	e := newEntry(self, control, log)
	if err := e.agent.Start(ctx); err != nil {
		return fmt.Errorf("start entry %s: %w", name, err)
	}
	defer e.deregister()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.agent.Run(ctx) })
	group.Go(func() error { return every(ctx, loadInterval, e.pollLoads) })
	group.Go(func() error { return serve.HTTP(ctx, self.CallerAddress, e.callerServer(d).Handler()) })
	group.Go(func() error { return serve.HTTP(ctx, self.AdminAddress, e.adminHandler()) })
	log.Info("entry started", "caller_address", self.CallerAddress, "settings_version", e.agent.Settings().Load().Version)
	return group.Wait()
}

func newEntry(self deployment.Entry, control *peergrpc.ControlClient, log hclog.Logger) *entry {
	c := clock.Boot{}
	e := &entry{
		self:        self,
		incarnation: uint64(c.Now()),
		clock:       c,
		control:     control,
		lease:       lease.NewHolder(c),
		tracker:     routing.NewTracker(c),
		backends:    backendhttp.New(),
		metrics:     telemetry.NewMetrics("entry", self.Name, log),
		log:         log,
	}
	e.gate = lease.NewGate(e.lease)
	e.agent = e.newAgent()
	return e
}

func (e *entry) callerServer(d *deployment.Deployment) *callerhttp.Server {
	return callerhttp.New(callerhttp.Options{
		Name:        e.self.Name,
		Zone:        e.self.Zone,
		Incarnation: e.incarnation,
		Addresses:   callerAddresses(d),
		Settings:    e.agent.Settings(),
		Lease:       e.lease,
		Tracker:     e.tracker,
		Picker:      routing.LeastRequests{},
		Backends:    e.backends,
		Control:     e.control,
		Log:         e.log,
	})
}

// every calls do at once and then at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func peerAddresses(d *deployment.Deployment) []string {
	var out []string
	for _, c := range d.Control {
		out = append(out, c.PeerAddress)
	}
	return out
}

func callerAddresses(d *deployment.Deployment) []string {
	var out []string
	for _, e := range d.Entries {
		out = append(out, e.CallerAddress)
	}
	return out
}
