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

// settleTime is longer than any attempt, late answers and frozen entries
// included.
const settleTime = 30 * time.Minute

// book makes one call with a key through an entry and records it.
func book(h *history, client int, e *entry, key string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Duration(e.w.clock.Now())
	call := &Call{Service: "booking", Path: "collections", Method: "POST", Key: key, Customer: "north", Body: []byte("body of " + key)}
	answer, err := e.protocol.Once(ctx, call, testRule)
	return h.add(client, key, start, time.Duration(e.w.clock.Now()), answer, err)
}

// bookUntilKnown repeats a call through the entries in turn until it is
// answered or the caller loses patience.
func bookUntilKnown(h *history, client int, entries []*entry, key string) outcome {
	var last outcome
	for try := range 6 {
		through := book
		if entries[0].w.besideOld && (client+try)%2 == 0 {
			through = bookOld
		}
		last = through(h, client, entries[(client+try)%len(entries)], key)
		if last.receipt != "" {
			return last
		}
		time.Sleep(time.Second)
	}
	return last
}

// finish lets stragglers act for settleTime and ends stopped entries.
func finish(w *world) { finishAfter(w, settleTime) }

func finishAfter(w *world, d time.Duration) {
	time.Sleep(d)
	close(w.release)
	synctest.Wait()
}

// TestStopAtEveryStep stops the first entry for good, or for a long time, at
// each step of a booking, while the caller repeats it through the second one.
func TestStopAtEveryStep(t *testing.T) {
	pauses := map[string]time.Duration{"killed": 0, "frozen": 5 * time.Minute}
	faults := []serviceFault{serviceWorks, serviceLate, serviceSilent, serviceCrashes, serviceRefusesConnection}
	for name, pause := range pauses {
		for _, at := range allSteps {
			for _, fault := range faults {
				t.Run(fmt.Sprintf("%s %s, service fault %d", name, at, fault), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(1)
						w.service = func(*rand.Rand) serviceFault { return fault }
						entries := []*entry{w.entry("first", stop{at: at, pause: pause}), w.entry("second", stop{})}
						h := &history{}
						bookUntilKnown(h, 0, entries, "van-1")
						finish(w)
						if err := check(w, h); err != nil {
							t.Error(err)
						}
					})
				})
			}
		}
	}
}

// plan is a drawn run.
type plan struct {
	seed    uint64
	entries int
	callers int
	keys    int
	// ledgerFaults and serviceFaults are in percent of the commands.
	ledgerFaults  int
	serviceFaults int
	lookup        bool
	// old lets callers repeat their keys through an old system too.
	old   bool
	stops []stop
}

func drawPlan(t *rapid.T) plan {
	p := plan{
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
		p.stops = append(p.stops, stop{at: at, pause: pause})
	}
	p.stops = append(p.stops, stop{})
	return p
}

// run carries out a plan and judges it.
func (p plan) run(t *testing.T, planted plantedFault) (err error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(p.seed)
		w.planted = planted
		w.lookup = p.lookup
		w.besideOld = p.old
		w.network = func(r *rand.Rand) ledgerFault {
			if r.IntN(100) < p.ledgerFaults {
				return ledgerFault(1 + r.IntN(3))
			}
			return ledgerWorks
		}
		w.service = func(r *rand.Rand) serviceFault {
			if r.IntN(100) < p.serviceFaults {
				return serviceFault(1 + r.IntN(4))
			}
			return serviceWorks
		}
		var entries []*entry
		for i := range p.entries {
			entries = append(entries, w.entry(fmt.Sprintf("entry-%d", i), p.stops[i]))
		}
		h := &history{}
		var group errgroup.Group
		for client := range p.callers {
			group.Go(func() error {
				bookUntilKnown(h, client, entries, fmt.Sprintf("van-%d", client%p.keys))
				return nil
			})
		}
		_ = group.Wait()
		finish(w)
		err = check(w, h)
	})
	return err
}

// TestAtMostOnce runs drawn schedules of callers, faults and stopped entries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := drawPlan(rt).run(t, ""); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckerFindsPlantedFaults shows that the checker reports each planted
// fault within a few schedules.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for _, planted := range []plantedFault{grantAlways, claimUnsent, resendOnLoss, sendLate} {
		t.Run(string(planted), func(t *testing.T) {
			for seed := range uint64(20) {
				p := plan{seed: seed, entries: 2, callers: 6, keys: 3, serviceFaults: 60, stops: []stop{{}, {}}}
				if err := p.run(t, planted); err != nil {
					t.Log(err)
					return
				}
			}
			t.Fatal("the checker found nothing")
		})
	}
}

// TestRepeatsGetTheAnswer shows that a repeat through another entry gets the
// stored answer, and that other content under the key is refused.
func TestRepeatsGetTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		first, second := w.entry("first", stop{}), w.entry("second", stop{})
		h := &history{}
		one := book(h, 0, first, "van-1")
		two := book(h, 0, second, "van-1")
		if one.receipt == "" || one != two {
			t.Errorf("answers are %+v and %+v", one, two)
		}
		call := &Call{Service: "booking", Path: "collections", Method: "POST", Key: "van-1", Customer: "north", Body: []byte("other")}
		_, err := second.protocol.Once(t.Context(), call, testRule)
		wantRefusal(t, err, refusal.KeyReused, refusal.Unknown)
	})
}
