package reconcile_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeplatform"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakewire"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/order"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// closing is the assumed and entryLag the simulated time until entries stop sending
// to an engine that is closed to new work. changeTime is how long an engine takes
// for a role change or a load, and weightRate is the weight store's rate in bytes
// per second.
const (
	closing    = 500 * time.Millisecond
	entryLag   = 300 * time.Millisecond
	changeTime = 300 * time.Millisecond
	replicas   = 3
	weightRate = 1000
	baseURL    = "http://10.0.0.1/"
	rootToken  = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)

var limits = order.Limits{MaxDeliveryDelay: fakewire.MaxDelay, CloseDelay: closing, IdleTimeout: 20 * time.Second, ResendInterval: time.Second}

// injectedBugs selects deliberate bugs that the checks must find; the zero value
// has none.
type injectedBugs struct {
	unguardedSends bool // frozen senders write after their authority ended
	noDeliveryWait bool // leaders don't wait for late copies of orders
	noClosePhase   bool // engines are not closed to new work before an order
}

// simulation is a control group with its engines, entries and old system.
type simulation struct {
	clock          clock.Clock
	group          controlGroup
	engines        map[string]*fakeengine.Orders
	weights        *fakeplatform.WeightStore
	bugs           injectedBugs
	processes      []*process
	ops            *history
	names          []string
	engineSettings map[string]settings.Engine
	// faultsOff stops the injection of random faults.
	faultsOff atomic.Bool
	// onStep is called at each step of an order; may be nil.
	onStep func(s orderStep, engine string)

	mu              sync.Mutex // guards the fields below
	random          *rand.Rand
	streams         map[string]int
	changeNumber    uint64
	weightVersion   int
	oldSystemOrders int
	violations      []string
}

// process is one control process, which may be killed and restarted.
type process struct {
	sim    *simulation
	number int
	ids    atomic.Uint64

	mu   sync.Mutex // guards the fields below
	kill context.CancelFunc
	// down is true from a kill of the process until its restart.
	down bool
}

func newSimulation(t testing.TB, seed uint64, bugs injectedBugs, ops *history, newGroup func(t testing.TB, sim *simulation) controlGroup) *simulation {
	sim := &simulation{
		clock: clock.NewRuntime(), weights: fakeplatform.NewWeightStore(weightRate, 0), bugs: bugs, ops: ops,
		engines: make(map[string]*fakeengine.Orders), engineSettings: make(map[string]settings.Engine),
		random: rand.New(rand.NewPCG(seed, 1)), streams: make(map[string]int),
	}
	sim.group = newGroup(t, sim)
	for i := range 4 {
		sim.addEngine(fmt.Sprintf("checks-%d", i), true)
		sim.addEngine(fmt.Sprintf("loose-%d", i), false)
	}
	for i := range replicas {
		sim.processes = append(sim.processes, &process{sim: sim, number: i})
	}
	sim.commit(&store.Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: rootToken, Zones: []string{"a"}}})
	return sim
}

func (sim *simulation) addEngine(name string, checks bool) {
	starts := 0
	sim.engines[baseURL+name] = fakeengine.NewOrders(fakeengine.OrderOptions{
		Role: settings.RoleMixed, ChecksFencing: checks, ChangeTime: changeTime,
		Incarnation: func() string { starts++; return fmt.Sprintf("%s/%d", name, starts) },
		InFlight:    func() (int, int) { sim.mu.Lock(); defer sim.mu.Unlock(); return 0, sim.streams[name] },
		Pull:        func(o backend.OrderRequest) func() { return sim.weights.Begin(name, o.Rate) },
		Arrived:     func(a *fakeengine.Arrival) { sim.arrived(name, a) },
	})
	sim.names = append(sim.names, name)
	role := settings.RolePrefill
	if strings.HasSuffix(name, "1") {
		role = settings.RoleDecode
	}
	sim.engineSettings[name] = settings.Engine{URL: baseURL + name, Zone: "a", ChecksFencing: checks, Authority: settings.AuthorityLagoonshift, Role: role}
}

// arrived marks an order that arrived at an engine as unrecorded if the order book
// does not allow it, and records orders that take effect.
func (sim *simulation) arrived(engine string, a *fakeengine.Arrival) {
	orders := sim.group.latestState().Orders()
	if strings.HasPrefix(a.Order.ID, "old-") {
		a.Unrecorded = orders.Book.Holders[engine].Side != settings.AuthorityOldSystem
		return
	}
	a.Unrecorded = orders.Book.Outstanding[engine].ID != a.Order.ID
	sim.notifyEffect(engine, a)
	if a.Effect {
		sim.ops.instant(engine, "effect", a.Order.ID)
	}
}

func (sim *simulation) chance(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.faultsOff.Load() && sim.random.Float64() < p
}

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.random.Int64N(int64(d)))
}

func (sim *simulation) fate() fakewire.SendFaults {
	f := fakewire.SendFaults{Delay: sim.randomDuration(20 * time.Millisecond)}
	if sim.chance(0.2) {
		f.Freeze = sim.randomDuration(40 * time.Second)
	}
	if sim.chance(0.4) {
		f.Delay = sim.randomDuration(fakewire.MaxDelay)
	}
	f.Lost, f.AnswerLost, f.Crossed, f.Broken = sim.chance(0.1), sim.chance(0.1), sim.chance(0.1), sim.chance(0.2)
	return f
}

// restart kills the process and restarts it one second later with the simulation's
// context.
func (p *process) restart(simCtx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return
	}
	p.down = true
	p.kill()
	p.sim.group.stopReplica(p.number)
	time.AfterFunc(time.Second, func() {
		if simCtx.Err() == nil {
			p.sim.group.startReplica(p.number)
			p.start(simCtx)
		}
	})
}

// withScriptedGroup returns a scripted control group for a simulation.
func withScriptedGroup(_ testing.TB, sim *simulation) controlGroup {
	return newScriptedGroup(sim.clock, func() bool { return sim.chance(0.1) })
}

func (p *process) start(simCtx context.Context) {
	sim := p.sim
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, kill := context.WithCancel(simCtx)
	p.kill = kill
	p.down = false
	bounds := limits
	if sim.bugs.noDeliveryWait {
		bounds.MaxDeliveryDelay = 0
	}
	if sim.bugs.noClosePhase {
		bounds.CloseDelay = 0
	}
	wire := fakewire.New(fakewire.Options{Clock: sim.clock, Engines: sim.engines, Next: func(url string) fakewire.SendFaults { return sim.fateWithSteps(strings.TrimPrefix(url, baseURL)) }, Unguarded: sim.bugs.unguardedSends, Killed: func() { go p.restart(simCtx) }})
	log, state := sim.group.replica(p.number)
	r := reconcile.New(reconcile.Options{
		Replica: "control", Log: &recordingLog{Log: &steppingLog{Log: log, sim: sim}, ops: sim.ops}, Store: state, Clock: sim.clock, Engines: wire,
		Limits: bounds, Logger: hclog.NewNullLogger(),
		NewID: func() string { return fmt.Sprintf("%p-%d", p, p.ids.Add(1)) },
	})
	go func() { _ = r.Run(ctx) }()
}

// apply commits the current engineSettings and weights as an operator would.
func (sim *simulation) apply() {
	models := map[string]settings.Model{}
	for name, engine := range sim.engineSettings {
		model, _, _ := strings.Cut(name, "-")
		m, ok := models[model]
		if !ok {
			m = settings.Model{MinPrefill: 1, MinDecode: 1, Engines: map[string]settings.Engine{}, Weights: []settings.Weights{{Kind: "adapter", Name: "a", Version: fmt.Sprint(sim.weightVersion)}}}
		}
		m.Engines[name] = engine
		models[model] = m
	}
	sim.change("system", settings.System{WeightStoreRate: weightRate})
	for name, model := range models {
		sim.change("models/"+name, model)
	}
}

func (sim *simulation) change(path string, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	for range 100 {
		if sim.tryChange(path, encoded) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("change of " + path + " refused")
}

// tryChange submits a settings change. It reports false if the change was based on
// an outdated version.
func (sim *simulation) tryChange(path string, content []byte) bool {
	sim.changeNumber++
	edit := settings.Edit{Path: path, Content: content, BaseVersion: sim.version(path)}
	change := settings.Change{Operator: settings.RootOperator, TokenSHA256: rootToken, Number: sim.changeNumber, Edits: []settings.Edit{edit}}
	sim.commit(&store.Command{Change: &change})
	return sim.version(path) != edit.BaseVersion
}

// version returns the version of a settings subtree.
func (sim *simulation) version(path string) (version uint64) {
	sim.group.latestState().View(func(tree *settings.Tree, _ *ledger.Ledger) { version = tree.Subtrees[path].Version })
	return version
}

func (sim *simulation) commit(command *store.Command) {
	encoded, err := command.Encode()
	if err != nil {
		panic(err)
	}
	sim.group.commit(encoded)
}

// runEntries simulates the entries: they send streams to each engine until
// entryLag after the engine was closed to new work.
func (sim *simulation) runEntries(ctx context.Context) {
	since := make(map[string]clock.Instant)
	for ctx.Err() == nil {
		orders := sim.group.latestState().Orders()
		closed := orders.Book.ClosedEngines()
		if sim.bugs.noClosePhase {
			closed = nil
		}
		for _, name := range sim.names {
			if !slices.Contains(closed, name) {
				delete(since, name)
			} else if _, ok := since[name]; !ok {
				since[name] = sim.clock.Now()
			}
			if at, ok := since[name]; (!ok || sim.clock.Now().Sub(at) < entryLag) && sim.randomDuration(time.Second) < time.Second/8 {
				sim.stream(name)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (sim *simulation) stream(engine string) {
	length := sim.randomDuration(time.Second)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.streams[engine]++
	time.AfterFunc(length, func() { sim.mu.Lock(); defer sim.mu.Unlock(); sim.streams[engine]-- })
}

// runOldSystem simulates the old system: it sends orders to the engines over which
// it has authority.
func (sim *simulation) runOldSystem(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500*time.Millisecond + sim.randomDuration(time.Second))
		orders := sim.group.latestState().Orders()
		for name := range sim.engines {
			engine := strings.TrimPrefix(name, baseURL)
			held := orders.Book.Holders[engine].Side == settings.AuthorityOldSystem
			if held && sim.settingsOf(engine).Authority == settings.AuthorityOldSystem && sim.idle(engine) && !sim.engines[name].State().Changing {
				sim.engines[name].Order(sim.nextOldSystemOrder(sim.engines[name].Record()))
			}
		}
	}
}

func (sim *simulation) settingsOf(engine string) settings.Engine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.engineSettings[engine]
}

func (sim *simulation) idle(engine string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.streams[engine] == 0
}

func (sim *simulation) nextOldSystemOrder(record fakeengine.Record) backend.OrderRequest {
	sim.oldSystemOrders++
	o := backend.OrderRequest{ID: fmt.Sprintf("old-%d", sim.oldSystemOrders), Kind: "role", Role: settings.RoleMixed, Fence: 1}
	for _, a := range record.Arrivals {
		o.Fence, o.Term = max(o.Fence, a.Order.Fence+1), max(o.Term, a.Order.Term)
	}
	return o
}

// watchRoles continuously checks, if roles is set, that no model loses its last
// engine of a role.
func (sim *simulation) watchRoles(ctx context.Context, roles bool) {
	reached := make(map[string]bool)
	for ctx.Err() == nil {
		for _, role := range []settings.Role{settings.RolePrefill, settings.RoleDecode} {
			for _, model := range []string{"checks", "loose"} {
				key := model + " " + string(role)
				present := sim.countRole(model, role) > 0
				if roles && reached[key] && !present {
					sim.report("no engine left for model and role %s", key)
				}
				reached[key] = present
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (sim *simulation) countRole(model string, role settings.Role) int {
	orders := sim.group.latestState().Orders()
	count := 0
	for url, engine := range sim.engines {
		name := strings.TrimPrefix(url, baseURL)
		state := engine.State()
		away := state.Changing && orders.Book.Outstanding[name].Wanted.Interrupts()
		if strings.HasPrefix(name, model) && state.Role == role && !away {
			count++
		}
	}
	return count
}

func (sim *simulation) report(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// checkInvariants returns all violations of invariants so far.
func (sim *simulation) checkInvariants() []string {
	sim.mu.Lock()
	found := slices.Clone(sim.violations)
	sim.mu.Unlock()
	found = append(found, sim.weights.Usage().Violations...)
	for _, url := range slices.Sorted(maps.Keys(sim.engines)) {
		record := sim.engines[url].Record()
		for _, v := range record.Violations() {
			found = append(found, url+": "+v)
		}
	}
	return found
}

// unfinished returns what does not match the settings yet.
func (sim *simulation) unfinished() []string {
	var left []string
	orders := sim.group.latestState().Orders()
	for engine, o := range orders.Book.Outstanding {
		left = append(left, fmt.Sprintf("order %s to %s is %s", o.ID, engine, o.Phase))
	}
	for name, engine := range sim.engineSettings {
		state := sim.engines[baseURL+name].State()
		if orders.Book.Holders[name].Side != engine.Authority {
			left = append(left, name+" does not have the wanted authority")
		}
		if engine.Authority == settings.AuthorityLagoonshift && (state.Role != engine.Role || len(state.Loaded) == 0) {
			left = append(left, fmt.Sprintf("%s has role %s and weights %v", name, state.Role, state.Loaded))
		}
	}
	return left
}
