package servicecall

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

var (
	errLost   = errors.New("fake: message lost")
	errKilled = errors.New("fake: process killed")
)

const (
	callTimeout   = 2 * time.Second
	testRetention = time.Hour
)

// step names a moment of a booking at which an entry may be stopped.
type step string

const (
	beforeReserve step = "before reserve"
	afterReserve  step = "after reserve"
	beforeSend    step = "before send"
	afterSend     step = "after send"
	beforeSettle  step = "before settle"
	afterSettle   step = "after settle"
)

var allSteps = []step{beforeReserve, afterReserve, beforeSend, afterSend, beforeSettle, afterSettle}

// stop says when an entry is stopped and for how long; zero is for good.
type stop struct {
	at    step
	pause time.Duration
}

// world is the ledger, the service and the entries of one run.
type world struct {
	seed  uint64
	clock *clock.Runtime
	state *store.Store
	// network draws what happens to a ledger command, service what the
	// service does with a call.
	network func(r *rand.Rand) ledgerFault
	service func(r *rand.Rand) serviceFault
	// planted switches a fault on that the checker has to find.
	planted plantedFault
	// lookup tells whether the service answers lookups.
	lookup  bool
	release chan struct{}

	mu         sync.Mutex // guards the fields below and applies
	index      uint64
	executions []execution
	// cancelled holds the attempts whose cancellation was committed.
	cancelled map[string]bool
	old       oldSystem
	// besideOld tells whether the settings name an old system.
	besideOld bool
}

type plantedFault string

const (
	grantAlways  plantedFault = "ledger grants every reservation"
	claimUnsent  plantedFault = "sent calls are reported as not sent"
	resendOnLoss plantedFault = "a call is sent twice"
	sendLate     plantedFault = "a call goes out after it was cancelled"
	ignoreClaims plantedFault = "keys of the old system are run"
)

type execution struct {
	key     string
	attempt string
	at      time.Duration
}

type ledgerFault int

const (
	ledgerWorks ledgerFault = iota
	ledgerLosesRequest
	ledgerLosesAnswer
	ledgerCommitsLate
)

type serviceFault int

const (
	serviceWorks serviceFault = iota
	serviceLate
	serviceSilent
	serviceCrashes
	serviceRefusesConnection
)

func newWorld(seed uint64) *world {
	return &world{
		seed:      seed,
		clock:     clock.NewRuntime(),
		state:     store.New(),
		network:   func(*rand.Rand) ledgerFault { return ledgerWorks },
		service:   func(*rand.Rand) serviceFault { return serviceWorks },
		release:   make(chan struct{}),
		cancelled: make(map[string]bool),
		old: oldSystem{
			taken:   make(map[string]side),
			answers: make(map[string]backend.ServiceAnswer),
			running: make(map[string]bool),
		},
	}
}

// random returns a source that depends on the seed and the words only, not on
// the order in which goroutines run.
func (w *world) random(words ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, words...)
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

func (w *world) commit(command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	result, err := store.DecodeResult(w.state.Apply(w.index, encoded))
	if s := command.Settle; err == nil && s != nil && s.Outcome.State == ledger.Cancelled && result.Ledger.Verdict == ledger.Stored {
		w.cancelled[s.Attempt] = true
	}
	if err == nil && w.planted == grantAlways && command.Reserve != nil {
		result.Ledger.Verdict = ledger.Granted
	}
	return result, err
}

func (w *world) execute(call backend.ServiceCall) backend.ServiceAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions = append(w.executions, execution{key: call.IdempotencyKey, attempt: call.Attempt, at: time.Duration(w.clock.Now())})
	return backend.ServiceAnswer{Status: 200, Body: fmt.Appendf(nil, "%d", len(w.executions))}
}

// open is a gate that lets everything pass.
type open struct{}

// Check implements Gate.
func (open) Check(uint64) error { return nil }

// entry is one entry process. It implements Ledger and Services.
type entry struct {
	w        *world
	name     string
	protocol *Protocol
	stop     stop
	stopped  atomic.Bool
	calls    atomic.Int64
}

func (w *world) entry(name string, s stop) *entry {
	e := &entry{w: w, name: name, stop: s}
	config := &atomic.Pointer[settings.Configuration]{}
	config.Store(&settings.Configuration{
		System:   settings.System{LedgerRetention: strictjson.Duration(testRetention)},
		Services: map[string]settings.Service{"booking": testService},
	})
	if w.besideOld {
		config.Load().System.OldSystem = []string{"http://old"}
	}
	attempts := atomic.Int64{}
	e.protocol = New(Options{
		Entry:       name,
		Incarnation: 1,
		Clock:       w.clock,
		Settings:    config,
		Gate:        open{},
		Ledger:      e,
		Services:    e,
		OldSystem:   e,
		Outliers:    outlier.NewSet(w.clock),
		Budget:      retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:      func() float64 { return 0.5 },
		NewAttempt:  func() string { return fmt.Sprintf("%s-%d", name, attempts.Add(1)) },
	})
	return e
}

// pass stops the entry if it is due at this step. A killed entry never does
// anything again; a frozen one goes on later.
func (e *entry) pass(s step) error {
	if e.stop.at == s && !e.stopped.Swap(true) && e.stop.pause > 0 {
		time.Sleep(e.stop.pause)
	}
	if e.stopped.Load() && e.stop.pause == 0 {
		<-e.w.release
		return errKilled
	}
	return nil
}

// Submit implements Ledger.
func (e *entry) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	before, after := beforeReserve, afterReserve
	if command.Settle != nil {
		before, after = beforeSettle, afterSettle
	}
	if err := e.pass(before); err != nil {
		return store.Result{}, err
	}
	result, err := e.submit(ctx, command)
	if err := e.pass(after); err != nil {
		return store.Result{}, err
	}
	return result, err
}

func (e *entry) submit(ctx context.Context, command *store.Command) (store.Result, error) {
	r := e.w.random(e.name, "submit", e.calls.Add(1))
	if !clock.Sleep(ctx, time.Duration(r.IntN(20))*time.Millisecond) {
		return store.Result{}, ctx.Err()
	}
	switch e.w.network(r) {
	case ledgerLosesRequest:
		return store.Result{}, errLost
	case ledgerLosesAnswer:
		_, _ = e.w.commit(command)
		return store.Result{}, errLost
	case ledgerCommitsLate:
		time.AfterFunc(time.Duration(r.IntN(5000))*time.Millisecond, func() { _, _ = e.w.commit(command) })
		return store.Result{}, errLost
	}
	return e.w.commit(command)
}

// CallOnce implements Services.
func (e *entry) CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceAnswer, error) {
	if err := e.pass(beforeSend); err != nil {
		return backend.ServiceAnswer{}, err
	}
	answer, err := e.send(ctx, call)
	if err := e.pass(afterSend); err != nil {
		return backend.ServiceAnswer{}, err
	}
	return answer, err
}

func (e *entry) send(ctx context.Context, call backend.ServiceCall) (backend.ServiceAnswer, error) {
	r := e.w.random(e.name, "call", e.calls.Add(1))
	fault := e.w.service(r)
	if fault == serviceRefusesConnection && e.w.planted == sendLate {
		time.AfterFunc(time.Minute, func() { e.w.execute(call) })
	}
	if fault == serviceRefusesConnection {
		return backend.ServiceAnswer{}, fmt.Errorf("dial: %w", backend.ErrNotSent)
	}
	answer := e.w.execute(call)
	switch {
	case e.w.planted == claimUnsent && fault != serviceWorks:
		return backend.ServiceAnswer{}, backend.ErrNotSent
	case e.w.planted == resendOnLoss && fault != serviceWorks:
		return e.w.execute(call), nil
	}
	switch fault {
	case serviceLate:
		if !clock.Sleep(ctx, time.Duration(5+r.IntN(15))*time.Second) {
			return backend.ServiceAnswer{}, ctx.Err()
		}
	case serviceSilent:
		<-ctx.Done()
		return backend.ServiceAnswer{}, ctx.Err()
	case serviceCrashes:
		return backend.ServiceAnswer{}, errLost
	}
	return answer, nil
}

// Call implements Services.
func (e *entry) Call(ctx context.Context, call backend.ServiceCall) (backend.ServiceAnswer, error) {
	return e.send(ctx, call)
}

// Lookup implements Services.
func (e *entry) Lookup(_ context.Context, call backend.ServiceCall) (backend.ServiceAnswer, bool, error) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	for i, ran := range e.w.executions {
		if e.w.lookup && ran.key == call.IdempotencyKey {
			return backend.ServiceAnswer{Status: 200, Body: fmt.Appendf(nil, "%d", i+1)}, true, nil
		}
	}
	return backend.ServiceAnswer{}, false, nil
}
