package servicecall

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

var (
	testService = settings.Service{Backends: map[string]settings.Backend{"a": {URL: "http://a"}, "b": {URL: "http://b"}}}
	testRule    = settings.Call{Timeout: strictjson.Duration(callTimeout), Lookup: "lookup"}
)

// drainTime is longer than any attempt takes, including late answers and frozen
// entries.
const drainTime = 30 * time.Minute

// book makes one call with the key through an entry and records it.
func book(h *history, client int, e *entry, key string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Duration(e.sim.clock.Now())
	call := &Call{Service: "booking", Path: "collections", Method: "POST", Key: key, Customer: "north", Body: []byte("body of " + key)}
	answer, err := e.protocol.RunAtMostOnce(ctx, call, testRule)
	return h.add(client, key, start, time.Duration(e.sim.clock.Now()), answer, err)
}

// bookUntilAnswered repeats a call through the entries in turn until it is
// answered or all retries are used up.
func bookUntilAnswered(h *history, client int, entries []*entry, key string) outcome {
	var last outcome
	for try := range 6 {
		bookThrough := book
		if entries[0].sim.hasOldSystem && (client+try)%2 == 0 {
			bookThrough = bookThroughOldSystem
		}
		last = bookThrough(h, client, entries[(client+try)%len(entries)], key)
		if last.receipt != "" {
			return last
		}
		time.Sleep(time.Second)
	}
	return last
}

// finish waits drainTime for outstanding attempts and then releases killed
// entries.
func finish(sim *simulation) { finishAfter(sim, drainTime) }

// finishAfter waits d for outstanding attempts and then releases killed entries.
func finishAfter(sim *simulation, d time.Duration) {
	time.Sleep(d)
	close(sim.shutdown)
	synctest.Wait()
}

// TestStopAtEveryStep kills the first entry, or freezes it for a long time, at
// each step of a booking, while the caller repeats the call through the second
// entry.
func TestStopAtEveryStep(t *testing.T) {
	pauses := map[string]time.Duration{"killed": 0, "frozen": 5 * time.Minute}
	faults := []serviceFault{serviceWorks, serviceLate, serviceSilent, serviceCrashes, serviceRefusesConnection}
	for name, pause := range pauses {
		for _, at := range allSteps {
			for _, fault := range faults {
				t.Run(fmt.Sprintf("%s %s, service fault %d", name, at, fault), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						sim := newSimulation(1)
						sim.service = func(*rand.Rand) serviceFault { return fault }
						entries := []*entry{sim.newEntry("first", entryFault{at: at, pause: pause}), sim.newEntry("second", entryFault{})}
						h := &history{}
						bookUntilAnswered(h, 0, entries, "van-1")
						finish(sim)
						if err := checkHistory(sim, h); err != nil {
							t.Error(err)
						}
					})
				})
			}
		}
	}
}

// schedule is a randomly generated run.
type schedule struct {
	seed    uint64
	entries int
	callers int
	keys    int
	// ledgerFaults and serviceFaults are the percentages of ledger commands
	// and of service calls that fail.
	ledgerFaults  int
	serviceFaults int
	lookup        bool
	// withOldSystem makes callers also send their keys through an old system.
	withOldSystem bool
	entryFaults   []entryFault
}

func drawSchedule(t *rapid.T) schedule {
	p := schedule{
		seed:          rapid.Uint64().Draw(t, "seed"),
		entries:       rapid.IntRange(2, 4).Draw(t, "entries"),
		callers:       rapid.IntRange(1, 6).Draw(t, "callers"),
		keys:          rapid.IntRange(1, 3).Draw(t, "keys"),
		ledgerFaults:  rapid.IntRange(0, 60).Draw(t, "ledger faults"),
		serviceFaults: rapid.IntRange(0, 80).Draw(t, "service faults"),
		lookup:        rapid.Bool().Draw(t, "lookup"),
	}
	for range p.entries - 1 {
		at := rapid.SampledFrom(append([]step{"never"}, allSteps...)).Draw(t, "stop at")
		pause := rapid.SampledFrom([]time.Duration{0, 10 * time.Second, 5 * time.Minute}).Draw(t, "pause")
		p.entryFaults = append(p.entryFaults, entryFault{at: at, pause: pause})
	}
	p.entryFaults = append(p.entryFaults, entryFault{})
	return p
}

// run executes the schedule and checks its history.
func (p schedule) run(t *testing.T, bug injectedBug) (err error) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(p.seed)
		sim.bug = bug
		sim.lookup = p.lookup
		sim.hasOldSystem = p.withOldSystem
		sim.network = func(r *rand.Rand) ledgerFault {
			if r.IntN(100) < p.ledgerFaults {
				return ledgerFault(1 + r.IntN(3))
			}
			return ledgerWorks
		}
		sim.service = func(r *rand.Rand) serviceFault {
			if r.IntN(100) < p.serviceFaults {
				return serviceFault(1 + r.IntN(4))
			}
			return serviceWorks
		}
		var entries []*entry
		for i := range p.entries {
			entries = append(entries, sim.newEntry(fmt.Sprintf("entry-%d", i), p.entryFaults[i]))
		}
		h := &history{}
		var group errgroup.Group
		for client := range p.callers {
			group.Go(func() error {
				bookUntilAnswered(h, client, entries, fmt.Sprintf("van-%d", client%p.keys))
				return nil
			})
		}
		_ = group.Wait()
		finish(sim)
		err = checkHistory(sim, h)
	})
	return err
}

// TestAtMostOnce checks at-most-once execution under random schedules of callers,
// faults and killed or frozen entries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := drawSchedule(rt).run(t, ""); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckerDetectsInjectedBugs checks that the checker reports each deliberate
// bug within 20 schedules.
func TestCheckerDetectsInjectedBugs(t *testing.T) {
	for _, bug := range []injectedBug{bugGrantAlways, bugReportSentAsUnsent, bugResendOnLoss, bugSendAfterCancel} {
		t.Run(string(bug), func(t *testing.T) {
			for seed := range uint64(20) {
				p := schedule{seed: seed, entries: 2, callers: 6, keys: 3, serviceFaults: 60, entryFaults: []entryFault{{}, {}}}
				if err := p.run(t, bug); err != nil {
					t.Log(err)
					return
				}
			}
			t.Fatal("checker found no violation in 20 schedules")
		})
	}
}

// TestRepeatGetsStoredAnswer checks that a repeat through another entry gets the
// stored answer, and that other content under the same key is refused.
func TestRepeatGetsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1)
		first, second := sim.newEntry("first", entryFault{}), sim.newEntry("second", entryFault{})
		h := &history{}
		one := book(h, 0, first, "van-1")
		two := book(h, 0, second, "van-1")
		if one.receipt == "" || one != two {
			t.Errorf("call got %+v and its repeat %+v, want the same receipt", one, two)
		}
		call := &Call{Service: "booking", Path: "collections", Method: "POST", Key: "van-1", Customer: "north", Body: []byte("other")}
		_, err := second.protocol.RunAtMostOnce(t.Context(), call, testRule)
		wantRefusal(t, err, refusal.KeyReused, refusal.ExecutedUnknown)
	})
}
