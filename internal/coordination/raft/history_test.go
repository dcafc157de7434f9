package raft_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	clients          = 4
	keys             = 25
	operationTimeout = 2 * time.Second
	checkTimeout     = 20 * time.Second
)

// input is one operation on a ledger key: a reservation by attempt, or a read
// if attempt is empty.
type input struct {
	key     string
	attempt string
}

// output is the result of an operation: the attempt that holds the key, or
// unknown if the outcome is not known.
type output struct {
	holder  string
	unknown bool
}

// reserveModel is a write-once register for each key: the first attempt sets
// it permanently.
var reserveModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(input).key
			byKey[key] = append(byKey[key], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		next := state.(string)
		if next == "" {
			next = in.(input).attempt
		}
		return out.(output).unknown || out.(output).holder == next, next
	},
}

// event is one event that disturbs or repairs the group, and the time to wait
// until the next one.
type event struct {
	kind    int
	replica int
	wait    time.Duration
}

const eventKinds = 10

// scenario is a complete test case.
type scenario struct {
	replicas int
	seed     uint64
	events   []event
	// The fields below inject faults that the history check must detect.
	ignoreSyncs bool
	amnesia     bool
	localReads  bool
}

func drawScenario(t *rapid.T) scenario {
	seeds := rapid.SliceOfN(rapid.Uint64(), 2, 2).Draw(t, "seeds")
	n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas")
	return newScenario(n, seeds[0], seeds[1])
}

func newScenario(n int, seed1, seed2 uint64) scenario {
	r := rand.New(rand.NewPCG(seed1, seed2))
	p := scenario{replicas: n, seed: r.Uint64()}
	for range 6 + r.IntN(10) {
		p.events = append(p.events, event{
			kind:    r.IntN(eventKinds),
			replica: r.IntN(n),
			wait:    time.Duration(r.IntN(3000)) * time.Millisecond,
		})
	}
	return p
}

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	scenario
	group        *fakegroup.Group
	stopped      atomic.Bool
	logicalClock atomic.Int64

	mu      sync.Mutex // guards history
	history []porcupine.Operation
}

// runScenario runs a scenario and returns the result of the linearizability
// check of its history. The result is also Illegal if a replica reports
// raft.ErrDiverged.
func runScenario(t *testing.T, p scenario) porcupine.CheckResult {
	w := &scenarioRun{scenario: p}
	diverged := false
	synctest.Test(t, func(t *testing.T) {
		w.group = fakegroup.New(t, fakegroup.Options{
			Replicas: p.replicas,
			Seed:     p.seed,
			Compaction: raft.Compaction{
				LogBytes:        6000,
				TrailingEntries: 5,
			},
			SegmentBytes: 4000,
		})
		for i := range p.replicas {
			w.group.Disk(i).SetIgnoreSync(p.ignoreSyncs)
		}
		var running sync.WaitGroup
		for c := range clients {
			running.Go(func() { w.runClient(c) })
		}
		for _, e := range p.events {
			w.injectEvent(e)
			time.Sleep(e.wait)
		}
		w.healAll()
		w.stopped.Store(true)
		running.Wait()
		if !p.amnesia && !p.ignoreSyncs {
			w.group.WaitVoters()
		}
		w.readAll()
		for i := range p.replicas {
			diverged = diverged || errors.Is(w.group.Err(i), raft.ErrDiverged)
		}
	})
	if diverged {
		return porcupine.Illegal
	}
	return porcupine.CheckOperationsTimeout(reserveModel, w.history, checkTimeout)
}

// injectEvent executes one event. A disk is lost only while all replicas are
// voters, because no log can survive the loss of a majority's disks.
func (w *scenarioRun) injectEvent(e event) {
	g := w.group
	switch e.kind {
	case 0, 1:
		g.Kill(e.replica)
	case 2, 3:
		w.restartAll()
	case 4:
		g.CutOff(e.replica)
	case 5:
		g.Heal()
	case 6:
		g.Freeze(e.replica)
	case 7:
		if g.Running(e.replica) {
			ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
			defer cancel()
			g.Node(e.replica).TransferLeadership(ctx)
		}
	case 8:
		g.SetDrop(0.2)
	case 9:
		w.loseDisk(e.replica)
	}
}

func (w *scenarioRun) loseDisk(i int) {
	switch {
	case w.amnesia:
		w.group.LoseDiskKeepIdentity(i)
	case w.group.FullyReplicated():
		w.group.LoseDisk(i)
	}
}

// restartAll thaws all replicas and restarts those that don't run.
func (w *scenarioRun) restartAll() {
	for i := range w.replicas {
		w.group.Thaw(i)
		if !w.group.Running(i) {
			// With an injected fault, a replica may refuse to start from its
			// disk.
			_ = w.group.TryRestart(i)
		}
	}
}

// healAll heals the network, restarts all replicas and waits for them to
// recover.
func (w *scenarioRun) healAll() {
	w.group.Heal()
	w.restartAll()
	time.Sleep(5 * time.Second)
}

func (w *scenarioRun) runClient(c int) {
	r := rand.New(rand.NewPCG(w.seed, uint64(c)))
	for n := 0; !w.stopped.Load(); n++ {
		in := input{key: fmt.Sprint(n % keys)}
		if r.IntN(3) > 0 {
			in.attempt = fmt.Sprintf("%d-%d", c, n)
		}
		w.operate(c, r.IntN(w.replicas), in)
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
}

// operate executes one operation of client c at replica i and records it.
func (w *scenarioRun) operate(c, i int, in input) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	o := porcupine.Operation{ClientId: c, Input: in, Call: w.logicalClock.Add(1)}
	out, err := w.execute(ctx, i, in)
	o.Return = w.logicalClock.Add(1)
	switch {
	case errors.Is(err, replog.ErrOutcomeUnknown):
		out.unknown = true
		o.Return = math.MaxInt64
	case err != nil:
		return // The operation was not executed; otherwise the history check fails.
	}
	o.Output = out
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, o)
}

func (w *scenarioRun) execute(ctx context.Context, i int, in input) (output, error) {
	key := ledger.Key{IdempotencyKey: in.key}
	if in.attempt == "" {
		return w.read(ctx, i, key)
	}
	command := store.Command{Reserve: &ledger.Reserve{Key: key, Attempt: in.attempt}}
	encoded, err := command.Encode()
	if err != nil {
		return output{}, err
	}
	applied, err := w.group.Submit(ctx, i, encoded)
	if err != nil {
		return output{}, err
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		return output{}, err
	}
	return output{holder: result.Ledger.Record.Reserve.Attempt}, nil
}

func (w *scenarioRun) read(ctx context.Context, i int, key ledger.Key) (output, error) {
	if !w.group.Running(i) {
		return output{}, replog.ErrStopped
	}
	s := w.group.Store(i)
	if !w.localReads {
		if err := w.group.Log(i).ReadBarrier(ctx); err != nil {
			return output{}, err
		}
	}
	var out output
	s.View(func(_ *settings.Tree, l *ledger.Ledger) {
		record, _ := l.Lookup(key)
		out.holder = record.Reserve.Attempt
	})
	return out, nil
}

// readAll reads every key at every replica.
func (w *scenarioRun) readAll() {
	for i := range w.replicas {
		for k := range keys {
			w.operate(clients+i, i, input{key: fmt.Sprint(k)})
		}
	}
}

func TestHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if result := runScenario(t, drawScenario(rt)); result != porcupine.Ok {
			rt.Fatalf("linearizability check of the history: got %v, want Ok", result)
		}
	})
}

func TestHistoryCheckDetectsInjectedFaults(t *testing.T) {
	for name, inject := range map[string]func(*scenario){
		"no sync before the answer": func(p *scenario) { p.ignoreSyncs = true },
		"vote after amnesia":        func(p *scenario) { p.amnesia = true },
		"read without ReadIndex":    func(p *scenario) { p.localReads = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				p := newScenario(3, seed, 0)
				inject(&p)
				if runScenario(t, p) == porcupine.Illegal {
					t.Logf("injected fault was detected with seed %d", seed)
					return
				}
			}
			t.Error("injected fault was not detected in 100 scenarios")
		})
	}
}
