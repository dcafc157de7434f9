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

const (
	closing    = 500 * time.Millisecond
	entryLag   = 300 * time.Millisecond
	changeTime = 300 * time.Millisecond
	replicas   = 3
	weightRate = 1000
	base       = "http://10.0.0.1/"
	rootToken  = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
)

var limits = order.Limits{Reach: fakewire.Reach, Closing: closing, Idle: 20 * time.Second, Resend: time.Second}

// faults are planted faults; the zero value is the system as it is.
type faults struct {
	unguarded bool // frozen senders write late
	noReach   bool // nobody waits for late copies
	noClosing bool // engines are not closed before an order
}

// world is a whole control group, its engines, entries and old system.
type world struct {
	clock   clock.Clock
	group   controls
	engines map[string]*fakeengine.Orders
	weights *fakeplatform.WeightStore
	faults  faults
	control []*process
	ops     *history
	names   []string
	pins    map[string]settings.Engine
	calm    atomic.Bool
	// atStep is told of each step of an order; nil if nobody is.
	atStep func(s orderStep, engine string)

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	streams  map[string]int
	changes  uint64
	weight   int
	oldOrder int
	found    []string
}

// process is one control process, which may be killed and started again.
type process struct {
	world  *world
	number int
	ids    atomic.Uint64

	mu   sync.Mutex // guards the fields below
	kill context.CancelFunc
	// down is true from the end of the process until it starts again.
	down bool
}

func newWorld(t testing.TB, seed uint64, f faults, ops *history, under func(t testing.TB, w *world) controls) *world {
	w := &world{
		clock: clock.NewRuntime(), weights: fakeplatform.NewWeightStore(weightRate, 0), faults: f, ops: ops,
		engines: make(map[string]*fakeengine.Orders), pins: make(map[string]settings.Engine),
		random: rand.New(rand.NewPCG(seed, 1)), streams: make(map[string]int),
	}
	w.group = under(t, w)
	for i := range 4 {
		w.addEngine(fmt.Sprintf("checks-%d", i), true)
		w.addEngine(fmt.Sprintf("loose-%d", i), false)
	}
	for i := range replicas {
		w.control = append(w.control, &process{world: w, number: i})
	}
	w.commit(&store.Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: rootToken, Zones: []string{"a"}}})
	return w
}

func (w *world) addEngine(name string, checks bool) {
	starts := 0
	w.engines[base+name] = fakeengine.NewOrders(fakeengine.OrderOptions{
		Role: settings.RoleMixed, ChecksFencing: checks, ChangeTime: changeTime,
		Incarnation: func() string { starts++; return fmt.Sprintf("%s/%d", name, starts) },
		InFlight:    func() (int, int) { w.mu.Lock(); defer w.mu.Unlock(); return 0, w.streams[name] },
		Pull:        func(o backend.OrderRequest) func() { return w.weights.Begin(name, o.Rate) },
		Arrived:     func(a *fakeengine.Arrival) { w.arrived(name, a) },
	})
	w.names = append(w.names, name)
	role := settings.RolePrefill
	if strings.HasSuffix(name, "1") {
		role = settings.RoleDecode
	}
	w.pins[name] = settings.Engine{URL: base + name, Zone: "a", ChecksFencing: checks, Authority: settings.AuthorityLagoonshift, Role: role}
}

// arrived compares an order with the book.
func (w *world) arrived(engine string, a *fakeengine.Arrival) {
	orders := w.group.truth().Orders()
	if strings.HasPrefix(a.Order.ID, "old-") {
		a.Unrecorded = orders.Book.Holders[engine].Side != settings.AuthorityOldSystem
		return
	}
	a.Unrecorded = orders.Book.Outstanding[engine].ID != a.Order.ID
	w.noteEffect(engine, a)
	if a.Effect {
		w.ops.instant(engine, "effect", a.Order.ID)
	}
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.calm.Load() && w.random.Float64() < p
}

func (w *world) draw(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) fate() fakewire.Fate {
	f := fakewire.Fate{Delay: w.draw(20 * time.Millisecond)}
	if w.chance(0.2) {
		f.Freeze = w.draw(40 * time.Second)
	}
	if w.chance(0.4) {
		f.Delay = w.draw(fakewire.Reach)
	}
	f.Lost, f.AnswerLost, f.Crossed, f.Broken = w.chance(0.1), w.chance(0.1), w.chance(0.1), w.chance(0.2)
	return f
}

// restart ends the process at once and starts it again, under the world's
// context, a second later.
func (p *process) restart(world context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return
	}
	p.down = true
	p.kill()
	p.world.group.end(p.number)
	time.AfterFunc(time.Second, func() {
		if world.Err() == nil {
			p.world.group.begin(p.number)
			p.start(world)
		}
	})
}

// underScript runs the world with a scripted group.
func underScript(_ testing.TB, w *world) controls {
	return newScripted(w.clock, func() bool { return w.chance(0.1) })
}

func (p *process) start(world context.Context) {
	w := p.world
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, kill := context.WithCancel(world)
	p.kill = kill
	p.down = false
	bounds := limits
	if w.faults.noReach {
		bounds.Reach = 0
	}
	if w.faults.noClosing {
		bounds.Closing = 0
	}
	wire := fakewire.New(fakewire.Options{Clock: w.clock, Engines: w.engines, Next: func(url string) fakewire.Fate { return w.fateOf(strings.TrimPrefix(url, base)) }, Unguarded: w.faults.unguarded, Killed: func() { go p.restart(world) }})
	log, state := w.group.replica(p.number)
	r := reconcile.New(reconcile.Options{
		Replica: "control", Log: &recorded{Log: &stepped{Log: log, world: w}, ops: w.ops}, Store: state, Clock: w.clock, Engines: wire,
		Limits: bounds, Logger: hclog.NewNullLogger(),
		NewID: func() string { return fmt.Sprintf("%p-%d", p, p.ids.Add(1)) },
	})
	go func() { _ = r.Run(ctx) }()
}

// apply commits the settings as they stand in pins, as an operator would.
func (w *world) apply() {
	models := map[string]settings.Model{}
	for name, engine := range w.pins {
		model, _, _ := strings.Cut(name, "-")
		m, ok := models[model]
		if !ok {
			m = settings.Model{MinPrefill: 1, MinDecode: 1, Engines: map[string]settings.Engine{}, Weights: []settings.Weights{{Kind: "adapter", Name: "a", Version: fmt.Sprint(w.weight)}}}
		}
		m.Engines[name] = engine
		models[model] = m
	}
	w.change("system", settings.System{WeightStoreRate: weightRate})
	for name, model := range models {
		w.change("models/"+name, model)
	}
}

func (w *world) change(path string, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	for range 100 {
		if w.tryChange(path, encoded) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("change of " + path + " refused")
}

// tryChange reports false if the change was made against an old version.
func (w *world) tryChange(path string, content []byte) bool {
	w.changes++
	edit := settings.Edit{Path: path, Content: content, BaseVersion: w.version(path)}
	change := settings.Change{Operator: settings.RootOperator, TokenSHA256: rootToken, Number: w.changes, Edits: []settings.Edit{edit}}
	w.commit(&store.Command{Change: &change})
	return w.version(path) != edit.BaseVersion
}

// version returns a subtree's version.
func (w *world) version(path string) (version uint64) {
	w.group.truth().View(func(tree *settings.Tree, _ *ledger.Ledger) { version = tree.Subtrees[path].Version })
	return version
}

func (w *world) commit(command *store.Command) {
	encoded, err := command.Encode()
	if err != nil {
		panic(err)
	}
	w.group.commit(encoded)
}

// serve plays the entries: they send streams to each engine until its closing
// has reached them.
func (w *world) serve(ctx context.Context) {
	since := make(map[string]clock.Instant)
	for ctx.Err() == nil {
		orders := w.group.truth().Orders()
		closed := orders.Book.Closed()
		if w.faults.noClosing {
			closed = nil
		}
		for _, name := range w.names {
			if !slices.Contains(closed, name) {
				delete(since, name)
			} else if _, ok := since[name]; !ok {
				since[name] = w.clock.Now()
			}
			if at, ok := since[name]; (!ok || w.clock.Now().Sub(at) < entryLag) && w.draw(time.Second) < time.Second/8 {
				w.stream(name)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *world) stream(engine string) {
	length := w.draw(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams[engine]++
	time.AfterFunc(length, func() { w.mu.Lock(); defer w.mu.Unlock(); w.streams[engine]-- })
}

// playOldSystem orders the engines that the book leaves to the old system.
func (w *world) playOldSystem(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500*time.Millisecond + w.draw(time.Second))
		orders := w.group.truth().Orders()
		for name := range w.engines {
			engine := strings.TrimPrefix(name, base)
			held := orders.Book.Holders[engine].Side == settings.AuthorityOldSystem
			if held && w.pinned(engine).Authority == settings.AuthorityOldSystem && w.idle(engine) && !w.engines[name].State().Changing {
				w.engines[name].Order(w.nextOldOrder(w.engines[name].Record()))
			}
		}
	}
}

func (w *world) pinned(engine string) settings.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pins[engine]
}

func (w *world) idle(engine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streams[engine] == 0
}

func (w *world) nextOldOrder(record fakeengine.Record) backend.OrderRequest {
	w.oldOrder++
	o := backend.OrderRequest{ID: fmt.Sprintf("old-%d", w.oldOrder), Kind: "role", Role: settings.RoleMixed, Fence: 1}
	for _, a := range record.Arrivals {
		o.Fence, o.Term = max(o.Fence, a.Order.Fence+1), max(o.Term, a.Order.Term)
	}
	return o
}

// watch checks at every moment that no needed role is left without engine, if
// the engines don't crash.
func (w *world) watch(ctx context.Context, roles bool) {
	reached := make(map[string]bool)
	for ctx.Err() == nil {
		for _, role := range []settings.Role{settings.RolePrefill, settings.RoleDecode} {
			for _, model := range []string{"checks", "loose"} {
				key := model + " " + string(role)
				present := w.countRole(model, role) > 0
				if roles && reached[key] && !present {
					w.report("no engine of %s", key)
				}
				reached[key] = present
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *world) countRole(model string, role settings.Role) int {
	orders := w.group.truth().Orders()
	count := 0
	for url, engine := range w.engines {
		name := strings.TrimPrefix(url, base)
		state := engine.State()
		away := state.Changing && orders.Book.Outstanding[name].Wanted.Interrupts()
		if strings.HasPrefix(name, model) && state.Role == role && !away {
			count++
		}
	}
	return count
}

func (w *world) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found = append(w.found, fmt.Sprintf(format, args...))
}

// judge returns everything that went against what must always hold.
func (w *world) judge() []string {
	w.mu.Lock()
	found := slices.Clone(w.found)
	w.mu.Unlock()
	found = append(found, w.weights.Usage().Violations...)
	for _, url := range slices.Sorted(maps.Keys(w.engines)) {
		record := w.engines[url].Record()
		for _, v := range record.Violations() {
			found = append(found, url+": "+v)
		}
	}
	return found
}

// unfinished returns what is not as the settings want it.
func (w *world) unfinished() []string {
	var left []string
	orders := w.group.truth().Orders()
	for engine, o := range orders.Book.Outstanding {
		left = append(left, fmt.Sprintf("order %s to %s is %s", o.ID, engine, o.Phase))
	}
	for name, engine := range w.pins {
		state := w.engines[base+name].State()
		if orders.Book.Holders[name].Side != engine.Authority {
			left = append(left, name+" is not handed over")
		}
		if engine.Authority == settings.AuthorityLagoonshift && (state.Role != engine.Role || len(state.Loaded) == 0) {
			left = append(left, fmt.Sprintf("%s has role %s and weights %v", name, state.Role, state.Loaded))
		}
	}
	return left
}
