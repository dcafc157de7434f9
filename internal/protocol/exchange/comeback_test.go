package exchange_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// firstCounts counts the callers of a class, those whose first request had an event, and
// those that had one after they came back.
type firstCounts struct {
	sent, first, later int
}

// runComebacks sends a load whose callers have time limits of 85 to 100% of the route's
// timeout and come back once after a refusal. It counts those that came between two times.
func (c *cluster) runComebacks(load []loadClass, from, end time.Duration) []firstCounts {
	const patience = 2 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.exchangeDigests(ctx, true)
	out := make([]firstCounts, len(load))
	var (
		mu      sync.Mutex
		calls   sync.WaitGroup
		started = time.Now()
	)
	for i, k := range load {
		calls.Go(func() {
			random := rand.New(rand.NewPCG(9, uint64(i)))
			for time.Since(started) < end {
				time.Sleep(time.Duration(random.ExpFloat64() / k.perSecond * float64(time.Second)))
				first, second := c.entries[random.IntN(len(c.entries))], c.entries[random.IntN(len(c.entries))]
				limit := time.Duration((1 - 0.15*random.Float64()) * float64(k.route.Timeout))
				p, at := k.prompt(random), time.Since(started)
				calls.Go(func() {
					deadline := time.Now().Add(limit)
					outcome, began := c.callBefore(deadline, first, &k, p, patience)
					atFirst, later := began > 0, false
					if outcome.Result == exchange.Refused && outcome.RetryAfter > 0 {
						time.Sleep(min(outcome.RetryAfter, time.Until(deadline)/3))
						_, began = c.callBefore(deadline, second, &k, p, patience)
						later = began > 0
					}
					mu.Lock()
					defer mu.Unlock()
					if at < from {
						return
					}
					out[i].sent++
					if atFirst {
						out[i].first++
					}
					if later {
						out[i].later++
					}
				})
			}
		})
	}
	calls.Wait()
	return out
}

// callBefore is like call, for a caller with a deadline of its own.
func (c *cluster) callBefore(deadline time.Time, entry *modelEntry, k *loadClass, p placement.Prompt, patience time.Duration) (o exchange.Outcome, first time.Duration) {
	call := &modelCall{cluster: c, prompt: p, length: k.length, started: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	call.impatient = time.AfterFunc(patience, cancel)
	defer call.impatient.Stop()
	o = entry.carrier.Run(ctx, &exchange.Request{ID: "r", Route: &k.route, Service: route.Service{Name: "llm"}, Prompt: &p, Deadline: deadline}, call, call)
	return o, call.first
}

// TestFirstRequestsBeginBesideCallersThatComeBack guards against first requests that are
// refused for others that come back, where 1.6 times the streams come that fit.
func TestFirstRequestsBeginBesideCallersThatComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, demand = 2 * 64.0, 1.6
		plans := loadClass{route: streaming("plan", 500*time.Millisecond), shared: 1000, own: 1000, prefixes: 30, length: 3 * time.Second}
		plans.route.Priority = 2
		questions := loadClass{route: streaming("question", 300*time.Millisecond), shared: 100, own: 500, prefixes: 30, length: 2500 * time.Millisecond}
		questions.route.Priority = 1
		triages := loadClass{route: streaming("triage", 300*time.Millisecond), shared: 200, own: 1600, prefixes: 30, length: 200 * time.Millisecond}
		load := []loadClass{
			atRate(plans, 0.5*demand*slots/3), atRate(questions, 0.45*demand*slots/2.5), atRate(triages, 0.05*demand*slots/0.2),
		}
		got := newClusterWithSlots(8, 6, 64, nil).runComebacks(load, 5*time.Second, 20*time.Second)
		t.Logf("%+v", got)
		for i, c := range got {
			if c.first*2 < c.sent {
				t.Errorf("class %d: %d of %d first requests begun, want at least half", i, c.first, c.sent)
			}
		}
	})
}
