package settingsync_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakefleet"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	registerPath = "models/m"
	// operatorCount is the number of concurrent operators. They share a name,
	// a token and the range of change numbers.
	operatorCount = 3
	// changeNumbers is the number of change numbers to choose from.
	changeNumbers = 24
	// answerTimeout is the virtual time within which the control group must
	// answer a request.
	answerTimeout = 5 * time.Minute
	// checkTimeout bounds the linearizability check of one history.
	checkTimeout = time.Minute
)

// request is one operation on a settings subtree, modeled as a versioned
// register.
type request struct {
	read   bool
	number uint64
	base   uint64
	value  string
}

// response is the answer that the operator received.
type response struct {
	// version and value are the result of a read.
	version uint64
	value   string
	result  settings.ChangeResult
}

// registerState is the state of the register model. It is immutable.
type registerState struct {
	version uint64
	value   string
	// answers holds the first answer to each change number.
	answers map[uint64]firstAnswer
}

type firstAnswer struct {
	request request
	outcome settings.Outcome
	version uint64
}

var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepRegister(state.(registerState), input.(request), output.(response))
	},
	Equal: func(a, b any) bool {
		x, y := a.(registerState), b.(registerState)
		return x.version == y.version && x.value == y.value && maps.Equal(x.answers, y.answers)
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v: %+v", input, output) },
}

func stepRegister(s registerState, in request, out response) (bool, registerState) {
	if in.read {
		return out.version == s.version && out.value == s.value, s
	}
	if first, ok := s.answers[in.number]; ok {
		if first.request == in {
			return out.result.Outcome == first.outcome && out.result.Version == first.version, s
		}
		winner := out.result.Winner
		return out.result.Outcome == settings.NumberTaken && winner.Outcome == first.outcome && winner.Version == first.version, s
	}
	next := registerState{version: s.version, value: s.value, answers: maps.Clone(s.answers)}
	if next.answers == nil {
		next.answers = make(map[uint64]firstAnswer)
	}
	next.answers[in.number] = firstAnswer{request: in, outcome: out.result.Outcome, version: out.result.Version}
	if in.base != s.version {
		return out.result.Outcome == settings.Conflict && out.result.Version == s.version, next
	}
	next.version, next.value = out.result.Version, in.value
	return out.result.Outcome == settings.Accepted && out.result.Version > s.version, next
}

// operatorGroup records the history of all operators of a run.
type operatorGroup struct {
	t     *testing.T
	fleet *fakefleet.Fleet
	// order is a logical clock for the calls and returns in the history.
	order atomic.Int64

	mu      sync.Mutex // guards history
	history []porcupine.Operation
}

// operator sends random requests concurrently with the other operators.
type operator struct {
	group  *operatorGroup
	id     int
	random *rand.Rand
	// client reaches the replicas over the same kind of links as an entry.
	client     *fakefleet.Entry
	newestSeen uint64
	// lastChange is the last change that the operator sent.
	lastChange request
}

// run performs operations until ctx is done. Each request is repeated until it
// is answered.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.perform(o.draw())
		time.Sleep(time.Duration(o.random.IntN(400)) * time.Millisecond)
	}
}

// draw returns a read, a repetition of the last change or a new change.
func (o *operator) draw() request {
	switch kind := o.random.IntN(10); {
	case kind < 4:
		return request{read: true}
	case kind < 6 && o.lastChange.number != 0:
		return o.lastChange
	}
	o.lastChange = request{
		number: 1 + o.random.Uint64N(changeNumbers),
		base:   o.newestSeen,
		value:  fmt.Sprintf(`{"engines":{},"role_price":%d}`, o.random.IntN(1000)),
	}
	return o.lastChange
}

// perform sends a request and adds it to the history with its answer.
func (o *operator) perform(in request) {
	call := o.group.order.Add(1)
	out := o.send(in)
	operation := porcupine.Operation{ClientId: o.id, Input: in, Call: call, Output: out, Return: o.group.order.Add(1)}
	o.group.mu.Lock()
	defer o.group.mu.Unlock()
	o.group.history = append(o.group.history, operation)
	o.newestSeen = max(o.newestSeen, out.version, out.result.Version)
}

// send repeats a request until an answer arrives. Answers are often lost.
func (o *operator) send(in request) response {
	number := in.number
	clock := o.group.fleet.Group.Clock()
	for start := clock.Now(); clock.Now().Sub(start) < answerTimeout; {
		var out response
		err := o.client.Each(context.Background(), func(ctx context.Context, i int) (err error) {
			if in.read {
				out.version, out.value, err = readRegister(o.group.fleet, ctx, i)
				return err
			}
			out.result, err = changeRegister(o.group.fleet, ctx, i, in, number)
			return err
		})
		if err == nil {
			return out
		}
		if o.group.fleet.Fault == fakefleet.NewNumber {
			number += changeNumbers
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.group.t.Errorf("got no answer to %+v within %v", in, answerTimeout)
	return response{}
}

func readRegister(fleet *fakefleet.Fleet, ctx context.Context, i int) (version uint64, value string, err error) {
	if _, err := fleet.Read(ctx, i, 0); err != nil {
		return 0, "", err
	}
	fleet.Group.Store(i).View(func(tree *settings.Tree, _ *ledger.Ledger) {
		current := tree.Subtrees[registerPath]
		version, value = current.Version, string(current.Content)
	})
	return version, value, nil
}

func changeRegister(fleet *fakefleet.Fleet, ctx context.Context, i int, in request, number uint64) (settings.ChangeResult, error) {
	result, err := fleet.Submit(ctx, i, &store.Command{Change: &settings.Change{
		Operator:    settings.RootOperator,
		TokenSHA256: settings.HashToken("root"),
		Number:      number,
		Edits:       []settings.Edit{{Path: registerPath, BaseVersion: in.base, Content: []byte(in.value)}},
	}})
	if err != nil {
		return settings.ChangeResult{}, err
	}
	return *result.Change, nil
}

// runOperators runs a schedule while concurrent operators read and change the
// settings, and returns their history.
func runOperators(t *testing.T, seed uint64, replicas int, schedule []fakefleet.Event, f fakefleet.Fault) []porcupine.Operation {
	var group *operatorGroup
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New(t, seed, replicas, 1, f)
		defer fleet.Stop()
		bootstrap := &store.Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: settings.HashToken("root")}}
		if _, err := fleet.Submit(t.Context(), fleet.Group.Leader(), bootstrap); err != nil {
			t.Fatal(err)
		}
		group = &operatorGroup{t: t, fleet: fleet}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range operatorCount {
			o := &operator{group: group, id: i, random: rand.New(rand.NewPCG(seed, uint64(i))), client: fleet.Operator()}
			running.Go(func() { o.run(ctx) })
		}
		for _, e := range schedule {
			time.Sleep(e.Wait)
			fleet.Do(e)
		}
		fleet.EndFailures()
		time.Sleep(settleTime / 4)
		cancel()
		running.Wait()
	})
	return group.history
}

// TestSettingsAreARegister checks that reads and changes of the settings are
// linearizable under random faults, while concurrent operators reuse each
// other's change numbers, lose answers and repeat changes.
func TestSettingsAreARegister(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		replicas := rapid.SampledFrom([]int{3, 3, 5}).Draw(r, "replicas")
		history := runOperators(t, seed, replicas, drawSchedule(r), fakefleet.NoFault)
		if got := porcupine.CheckOperationsTimeout(registerModel, history, checkTimeout); got != porcupine.Ok {
			r.Fatalf("linearizability check of %d operations: got %s, want Ok; history: %v", len(history), got, history)
		}
		if len(history) < operatorCount {
			r.Fatalf("history has %d operations, want at least one per operator", len(history))
		}
	})
}

// TestRegisterCheckerDetectsInjectedFaults injects reads without a read
// barrier, and repeated changes that get a new change number.
func TestRegisterCheckerDetectsInjectedFaults(t *testing.T) {
	const tries = 20
	second := time.Second
	schedule := []fakefleet.Event{{Kind: fakefleet.Slow}, {Wait: second, Kind: fakefleet.CutReplica}, {Wait: 4 * second, Kind: fakefleet.Heal}, {Wait: second, Kind: fakefleet.Drop}, {Wait: 4 * second, Kind: fakefleet.KillLeader}, {Wait: 4 * second, Kind: fakefleet.Fast}}
	for name, f := range map[string]fakefleet.Fault{"read at a follower": fakefleet.FollowerRead, "new number": fakefleet.NewNumber} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(tries) {
				if porcupine.CheckOperationsTimeout(registerModel, runOperators(t, seed, 3, schedule, f), checkTimeout) == porcupine.Illegal {
					return
				}
			}
			t.Errorf("checker missed the injected fault in %d tries", tries)
		})
	}
}
