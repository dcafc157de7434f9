package callerhttp

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeservice"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
)

const testLedgerRetention = time.Hour

// testEntry is an entry that serves on a TCP socket, with fake engines, a fake
// service and a local ledger.
type testEntry struct {
	engines []*fakeengine.Engine
	service *fakeservice.Service
	config  *settings.Configuration
	holder  *lease.Holder
	members members
	leaving chan struct{}
	url     string
}

type members []member.Member

// Members implements Directory.
func (m *members) Members() []member.Member { return *m }

// newTestEntry starts an entry with the given number of engines. edit, if not
// nil, changes the settings before the entry starts.
func newTestEntry(t testing.TB, engines int, edit func(*settings.Configuration)) *testEntry {
	t.Helper()
	r := &testEntry{service: fakeservice.New(0), leaving: make(chan struct{})}
	var urls []string
	for range engines {
		engine := fakeengine.New(fakeengine.Options{Model: "drafting", PrefillRate: 1e9, TokenInterval: time.Millisecond})
		r.engines = append(r.engines, engine)
		urls = append(urls, serveTest(t, engine.Handler()))
	}
	r.config = testConfig(urls, serveTest(t, r.service.Handler()))
	if edit != nil {
		edit(r.config)
	}
	r.start(t)
	return r
}

// serveTest serves h until the test ends and returns its base URL.
func serveTest(t testing.TB, h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

func testConfig(engines []string, service string) *settings.Configuration {
	model := settings.Model{Engines: make(map[string]settings.Engine)}
	for i, url := range engines {
		model.Engines[string(rune('a'+i))] = settings.Engine{URL: url}
	}
	return &settings.Configuration{
		System: settings.System{AddressTTL: strictjson.Duration(30 * time.Second), LedgerRetention: strictjson.Duration(testLedgerRetention)},
		Models: map[string]settings.Model{"drafting": model},
		Teams: map[string]settings.Team{"desk": {
			Classes:   map[string]settings.Class{"quote": {Model: "drafting", ExpectedWait: strictjson.Duration(20 * time.Second), Worth: 1}},
			Customers: map[string]settings.Customer{"north": {MaxConcurrent: 1}},
		}},
		Services: map[string]settings.Service{"booking": {
			Backends: map[string]settings.Backend{"booking-1": {URL: service}},
			Calls: map[string]settings.Call{
				"collections": {Timeout: strictjson.Duration(5 * time.Second)},
				"stock":       {Timeout: strictjson.Duration(5 * time.Second), Idempotent: true},
			},
		}},
	}
}

func (r *testEntry) start(t testing.TB) {
	c := clock.NewRuntime()
	r.holder = lease.NewHolder(c)
	r.holder.Extend(c.Now(), time.Hour)
	r.serve(t, c)
}

func (r *testEntry) startWithoutLease(t testing.TB) {
	c := clock.NewRuntime()
	r.holder = lease.NewHolder(c)
	r.serve(t, c)
}

func (r *testEntry) serve(t testing.TB, c clock.Clock) {
	gate := lease.NewGate(r.holder)
	inForce := &atomic.Pointer[settings.Configuration]{}
	inForce.Store(r.config)
	tracker := routing.NewTracker(c)
	tracker.Configure(r.config)
	state := store.New()
	outliers := outlier.NewSet(c)
	backends := backendhttp.New()
	server := New(Options{
		Zone:      "a",
		Directory: &r.members,
		Settings:  inForce,
		Lease:     r.holder,
		Requests: request.New(request.Options{
			Zone: "a", Clock: c, Settings: inForce, Gate: gate, Tracker: tracker,
			Picker: routing.LeastRequests{}, Engines: backends, Outliers: outliers,
			Budget: retry.NewBudget(retry.DefaultShare, retry.DefaultReserve), Random: rand.Float64,
		}),
		Services: servicecall.New(servicecall.Options{
			Entry: "entry-1", Incarnation: 1, Zone: "a", Clock: c, Settings: inForce, Gate: gate,
			Ledger: &localLedger{log: memlog.New(state, c, store.IsSettingsCommand)}, Services: backends, OldSystem: backends, Outliers: outliers,
			Budget: retry.NewBudget(retry.DefaultShare, retry.DefaultReserve), Random: rand.Float64,
		}),
		Gate:    limit.NewGate(1000),
		Leaving: r.leaving,
		Log:     hclog.NewNullLogger(),
	})
	r.url = serveTest(t, server.Handler())
}
