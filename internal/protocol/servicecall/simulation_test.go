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
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
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

// step is a point of a booking at which an entry may be killed or frozen.
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

// entryFault kills or freezes an entry at a step; with a zero pause the entry is
// killed.
type entryFault struct {
	at    step
	pause time.Duration
}

// simulation holds the ledger, the service and the entries of one test run.
type simulation struct {
	seed  uint64
	clock *clock.Runtime
	state *store.Store
	// network chooses the fault of a ledger command, service that of a call.
	network func(r *rand.Rand) ledgerFault
	service func(r *rand.Rand) serviceFault
	// bug is a deliberate bug that the checker has to find; empty for none.
	bug injectedBug
	// lookup reports whether the service answers outcome lookups.
	lookup   bool
	shutdown chan struct{}

	mu         sync.Mutex // guards the fields below and serializes applies
	index      uint64
	executions []execution
	// cancelled holds the IDs of the attempts whose cancellation was
	// committed.
	cancelled map[string]bool
	oldSystem fakeOldSystem
	// hasOldSystem reports whether the settings name an old system.
	hasOldSystem bool
}

type injectedBug string

const (
	bugGrantAlways        injectedBug = "ledger grants every reservation"
	bugReportSentAsUnsent injectedBug = "sent calls are reported as not sent"
	bugResendOnLoss       injectedBug = "a call is sent twice"
	bugSendAfterCancel    injectedBug = "a call goes out after it was cancelled"
	bugIgnoreClaims       injectedBug = "keys of the old system are run"
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

func newSimulation(seed uint64) *simulation {
	return &simulation{
		seed:      seed,
		clock:     clock.NewRuntime(),
		state:     store.New(),
		network:   func(*rand.Rand) ledgerFault { return ledgerWorks },
		service:   func(*rand.Rand) serviceFault { return serviceWorks },
		shutdown:  make(chan struct{}),
		cancelled: make(map[string]bool),
		oldSystem: fakeOldSystem{
			owners:  make(map[string]keyOwner),
			answers: make(map[string]backend.ServiceResponse),
			started: make(map[string]bool),
		},
	}
}

// random returns a source that depends only on the seed and the labels, not on
// the order in which goroutines run.
func (sim *simulation) random(labels ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, labels...)
	return rand.New(rand.NewPCG(sim.seed, h.Sum64()))
}

func (sim *simulation) commit(command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.index++
	result, err := store.DecodeResult(sim.state.Apply(sim.index, encoded))
	if s := command.Settle; err == nil && s != nil && s.Outcome.State == ledger.Cancelled && result.Ledger.Verdict == ledger.Stored {
		sim.cancelled[s.Attempt] = true
	}
	if err == nil && sim.bug == bugGrantAlways && command.Reserve != nil {
		result.Ledger.Verdict = ledger.Granted
	}
	return result, err
}

func (sim *simulation) execute(call backend.ServiceCall) backend.ServiceResponse {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.executions = append(sim.executions, execution{key: call.IdempotencyKey, attempt: call.Attempt, at: time.Duration(sim.clock.Now())})
	return backend.ServiceResponse{Status: 200, Body: fmt.Appendf(nil, "%d", len(sim.executions))}
}

// openGate is a Gate that never refuses.
type openGate struct{}

// Check implements Gate.
func (openGate) Check(uint64) error { return nil }

// entry is a simulated entry process. It implements Ledger, Services and
// OldSystem.
type entry struct {
	sim      *simulation
	name     string
	protocol *Protocol
	fault    entryFault
	stopped  atomic.Bool
	calls    atomic.Int64
}

func (sim *simulation) newEntry(name string, fault entryFault) *entry {
	e := &entry{sim: sim, name: name, fault: fault}
	config := &atomic.Pointer[settings.Configuration]{}
	config.Store(&settings.Configuration{
		System:   settings.System{LedgerRetention: strictjson.Duration(testRetention)},
		Services: map[string]settings.Service{"booking": testService},
	})
	if sim.hasOldSystem {
		config.Load().System.OldSystem = []string{"http://old"}
	}
	attempts := atomic.Int64{}
	e.protocol = New(Options{
		Entry:       name,
		Incarnation: 1,
		Clock:       sim.clock,
		Settings:    config,
		Gate:        openGate{},
		Ledger:      e,
		Services:    e,
		OldSystem:   e,
		Outliers:    outlier.NewSet(sim.clock),
		Budget:      retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:      func() float64 { return 0.5 },
		NewAttempt:  func() string { return fmt.Sprintf("%s-%d", name, attempts.Add(1)) },
	})
	return e
}

// stopIfDue applies the entry's fault if it is due at this step. A killed entry
// does nothing from then on; a frozen one continues after its pause.
func (e *entry) stopIfDue(s step) error {
	if e.fault.at == s && !e.stopped.Swap(true) && e.fault.pause > 0 {
		time.Sleep(e.fault.pause)
	}
	if e.stopped.Load() && e.fault.pause == 0 {
		<-e.sim.shutdown
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
	if err := e.stopIfDue(before); err != nil {
		return store.Result{}, err
	}
	result, err := e.submit(ctx, command)
	if err := e.stopIfDue(after); err != nil {
		return store.Result{}, err
	}
	return result, err
}

func (e *entry) submit(ctx context.Context, command *store.Command) (store.Result, error) {
	r := e.sim.random(e.name, "submit", e.calls.Add(1))
	if !clock.Sleep(ctx, time.Duration(r.IntN(20))*time.Millisecond) {
		return store.Result{}, ctx.Err()
	}
	switch e.sim.network(r) {
	case ledgerLosesRequest:
		return store.Result{}, errLost
	case ledgerLosesAnswer:
		_, _ = e.sim.commit(command)
		return store.Result{}, errLost
	case ledgerCommitsLate:
		time.AfterFunc(time.Duration(r.IntN(5000))*time.Millisecond, func() { _, _ = e.sim.commit(command) })
		return store.Result{}, errLost
	}
	return e.sim.commit(command)
}

// CallOnce implements Services.
func (e *entry) CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	if err := e.stopIfDue(beforeSend); err != nil {
		return backend.ServiceResponse{}, err
	}
	answer, err := e.send(ctx, call)
	if err := e.stopIfDue(afterSend); err != nil {
		return backend.ServiceResponse{}, err
	}
	return answer, err
}

func (e *entry) send(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	r := e.sim.random(e.name, "call", e.calls.Add(1))
	fault := e.sim.service(r)
	if fault == serviceRefusesConnection && e.sim.bug == bugSendAfterCancel {
		time.AfterFunc(time.Minute, func() { e.sim.execute(call) })
	}
	if fault == serviceRefusesConnection {
		return backend.ServiceResponse{}, fmt.Errorf("dial: %w", backend.ErrNotSent)
	}
	answer := e.sim.execute(call)
	switch {
	case e.sim.bug == bugReportSentAsUnsent && fault != serviceWorks:
		return backend.ServiceResponse{}, backend.ErrNotSent
	case e.sim.bug == bugResendOnLoss && fault != serviceWorks:
		return e.sim.execute(call), nil
	}
	switch fault {
	case serviceLate:
		if !clock.Sleep(ctx, time.Duration(5+r.IntN(15))*time.Second) {
			return backend.ServiceResponse{}, ctx.Err()
		}
	case serviceSilent:
		<-ctx.Done()
		return backend.ServiceResponse{}, ctx.Err()
	case serviceCrashes:
		return backend.ServiceResponse{}, errLost
	}
	return answer, nil
}

// Call implements Services.
func (e *entry) Call(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	return e.send(ctx, call)
}

// Lookup implements Services.
func (e *entry) Lookup(_ context.Context, call backend.ServiceCall) (backend.ServiceResponse, bool, error) {
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	for i, ran := range e.sim.executions {
		if e.sim.lookup && ran.key == call.IdempotencyKey {
			return backend.ServiceResponse{Status: 200, Body: fmt.Appendf(nil, "%d", i+1)}, true, nil
		}
	}
	return backend.ServiceResponse{}, false, nil
}
