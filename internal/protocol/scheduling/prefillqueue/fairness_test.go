package prefillqueue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
)

// client is the traffic of one workspace: requests a second, all of them alike.
type client struct {
	workspace      string
	perSecond      float64
	tokens, output int
	priority       int
	// repeats is set if the callers repeat a request at once after each refusal, up to its
	// deadline.
	repeats bool
}

// result counts the requests of a workspace.
type result struct{ asked, served, attempts int }

func (r result) fraction() float64 { return float64(r.served) / float64(max(1, r.asked)) }

// overload plays traffic against modelled engines: prefill engines that work off what they
// have at a fixed rate, and slots.
type overload struct {
	prefillEngines  int
	tokensPerSecond float64
	slots           int
	streamTime      time.Duration

	// entries is the number of entries, each with a queue; zero stands for one. Requests go to
	// them in turn.
	entries int

	queues   []*Queue
	trackers []*fleet.Tracker
	uses     []*fairshare.Uses
	mu       sync.Mutex
	// busyUntil is when each prefill engine has worked off its prompts.
	busyUntil []time.Time
	pending   []int
	streams   int
	results   map[string]result
	// idle is the time for which engines had nothing to do, or slots were free, while
	// prompts waited.
	waiting int
	idle    time.Duration
}

const (
	testObjective = time.Second
	testPatience  = 4 * time.Second
	// repeatAfter is a round trip of a caller that repeats at once.
	repeatAfter = 50 * time.Millisecond
	// warmUp is the time before requests are counted.
	warmUp = 15 * time.Second
)

func (o *overload) engines(string) Engines {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := Engines{Count: o.prefillEngines, Slots: o.slots, Streams: o.streams, Decoding: max(1, o.slots/64)}
	if len(o.pending) > 0 {
		out.MinTokens = slices.Min(o.pending)
	}
	for _, tokens := range o.pending {
		out.Tokens += tokens
	}
	return out
}

// prefill has the least loaded engine prefill a prompt.
func (o *overload) prefill(grant *Grant, tokens int) {
	if o.prefillEngines == 0 {
		grant.Release()
		return
	}
	o.mu.Lock()
	i := 0
	for j := range o.pending {
		if o.pending[j] < o.pending[i] {
			i = j
		}
	}
	now, ahead := time.Now(), o.pending[i]
	begin := o.busyUntil[i]
	if begin.Before(now) {
		begin = now
	}
	o.busyUntil[i] = begin.Add(secondsToDuration(float64(tokens) / o.tokensPerSecond))
	o.pending[i] += tokens
	done := o.busyUntil[i]
	o.mu.Unlock()
	time.Sleep(time.Until(done) + 30*time.Millisecond)
	o.mu.Lock()
	o.pending[i] -= tokens
	left := o.pending[i]
	o.mu.Unlock()
	grant.Prefilled(ahead, tokens, left)
	grant.Release()
}

// request plays one request and its repeats.
func (o *overload) request(ctx context.Context, q *Queue, c client, key string, counted bool) {
	arrived := time.Now()
	served, attempts := false, 0
	for !served && time.Since(arrived) < testPatience && ctx.Err() == nil {
		attempts++
		now := time.Now()
		o.mu.Lock()
		o.waiting++
		o.mu.Unlock()
		grant, err := q.Acquire(ctx, Prompt{
			Service: "llm", Route: "a", Workspace: c.workspace, Priority: c.priority, Key: key, Local: o.prefillEngines == 0, Tokens: c.tokens, Output: c.output,
			Arrived: now, Asked: now, Objective: testObjective, GiveUp: arrived.Add(testPatience),
		})
		o.mu.Lock()
		o.waiting--
		o.mu.Unlock()
		if err != nil {
			if !c.repeats {
				break
			}
			time.Sleep(repeatAfter)
			continue
		}
		served = true
		end := q.Begin("llm", "a", o.prefillEngines == 0)
		o.prefill(grant, c.tokens)
		o.mu.Lock()
		o.streams++
		o.mu.Unlock()
		grant.Sent()
		time.Sleep(o.streamTime)
		o.mu.Lock()
		o.streams--
		o.mu.Unlock()
		end()
	}
	if counted {
		o.mu.Lock()
		defer o.mu.Unlock()
		r := o.results[c.workspace]
		r.asked++
		r.attempts += attempts
		if served {
			r.served++
		}
		o.results[c.workspace] = r
	}
}

// watch adds up the time in which capacity is idle although prompts have waited for longer
// than an entry takes to see it.
func (o *overload) watch(ctx context.Context) {
	const step = 5 * time.Millisecond
	idleFor := time.Duration(0)
	for ctx.Err() == nil {
		time.Sleep(step)
		o.mu.Lock()
		now, idle := time.Now(), o.slots > 0 && o.streams < o.slots
		for _, until := range o.busyUntil {
			idle = idle || o.slots == 0 && until.Before(now)
		}
		if idle = idle && o.waiting > 0; !idle {
			idleFor = 0
		}
		if idleFor += step; idle && idleFor > maxCreditAge+recheckInterval {
			o.idle += step
		}
		o.mu.Unlock()
	}
}

// exchange has the entries exchange what waits at them and what workspaces asked for.
func (o *overload) exchange(ctx context.Context) {
	for ctx.Err() == nil && len(o.queues) > 1 {
		time.Sleep(50 * time.Millisecond)
		work, uses := fleet.NewSum(), fairshare.NewSum()
		ownWork, ownUses := make([]fleet.Work, len(o.queues)), make([][]fairshare.Use, len(o.queues))
		for i := range o.queues {
			ownWork[i], ownUses[i] = o.trackers[i].Own(), o.uses[i].Report(time.Now())
			work.Add(ownWork[i])
			uses.Replace(nil, ownUses[i])
		}
		time.Sleep(50 * time.Millisecond)
		for i := range o.queues {
			o.trackers[i].SetOthers(work.Without(ownWork[i]))
			o.uses[i].SetOthers(uses.Without(time.Now(), ownUses[i]))
		}
	}
}

// play has clients send requests for a time and returns what each workspace got.
func (o *overload) play(t *testing.T, seed uint64, length time.Duration, clients []client) map[string]result {
	t.Helper()
	for range max(1, o.entries) {
		tracker, uses := fleet.NewTracker(), fairshare.NewUses()
		o.trackers, o.uses = append(o.trackers, tracker), append(o.uses, uses)
		o.queues = append(o.queues, New(Options{Engines: o.engines, Tracker: tracker, Uses: uses}))
	}
	o.busyUntil, o.pending = make([]time.Time, o.prefillEngines), make([]int, o.prefillEngines)
	o.results = make(map[string]result)
	random := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	began := time.Now()
	running.Go(func() { o.watch(ctx) })
	running.Go(func() { o.exchange(ctx) })
	for _, c := range clients {
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		running.Go(func() {
			for n := 0; time.Since(began) < length; n++ {
				time.Sleep(time.Duration(own.ExpFloat64() / c.perSecond * float64(time.Second)))
				counted := time.Since(began) > warmUp
				running.Go(func() { o.request(ctx, o.queues[n%len(o.queues)], c, fmt.Sprint(n), counted) })
			}
		})
	}
	time.Sleep(length + testPatience + o.streamTime + time.Second)
	cancel()
	running.Wait()
	return o.results
}

// clients returns the traffic of one large workspace and of twenty small ones.
func clients(large, small client) []client {
	large.workspace = "large"
	out := []client{large}
	for i := range 20 {
		small.workspace = fmt.Sprint("small-", i)
		out = append(out, small)
	}
	return out
}

// TestWorkspacesShareCapacity plays overloads and guards against a workspace that starves
// the others, by its number of requests, by their length, or by repeating at once, and
// against capacity that is left idle for the sake of shares.
func TestWorkspacesShareCapacity(t *testing.T) {
	prefillShort := func() *overload {
		return &overload{prefillEngines: 4, tokensPerSecond: 50000, streamTime: 500 * time.Millisecond}
	}
	entries := func() *overload {
		o := prefillShort()
		o.entries = 4
		return o
	}
	slotsShort := func() *overload { return &overload{slots: 128, streamTime: 2 * time.Second} }
	request := client{perSecond: 3, tokens: 4000, output: 100}
	brief := client{perSecond: 4, tokens: 800, output: 200}
	with := func(c client, change func(c *client)) client { change(&c); return c }
	for name, c := range map[string]struct {
		model   func() *overload
		clients []client
		// equal is set if the requests of all workspaces are alike.
		equal bool
	}{
		"prefill, one of ten times the demand": {prefillShort, clients(with(request, func(c *client) { c.perSecond *= 10 }), request), true},
		"entries, one of ten times the demand": {entries, clients(with(request, func(c *client) { c.perSecond *= 10 }), request), true},
		"entries, large one repeats at once":   {entries, clients(with(request, func(c *client) { c.repeats, c.perSecond = true, 30 }), request), true},
		"prefill, equal":                       {prefillShort, clients(request, request), true},
		"prefill, one of long prompts":         {prefillShort, clients(with(request, func(c *client) { c.tokens = 12000 }), request), false},
		"prefill, one repeats at once":         {prefillShort, clients(with(request, func(c *client) { c.repeats = true }), request), true},
		"prefill, large one repeats at once":   {prefillShort, clients(with(request, func(c *client) { c.repeats, c.perSecond = true, 30 }), request), true},
		"slots, one of ten times the demand":   {slotsShort, clients(with(brief, func(c *client) { c.perSecond *= 10 }), brief), true},
		"slots, equal":                         {slotsShort, clients(brief, brief), true},
		"prefill, large one less urgent":       {prefillShort, clients(with(request, func(c *client) { c.perSecond, c.priority = 9, 1 }), request), false},
		"prefill, small ones less urgent":      {prefillShort, clients(with(request, func(c *client) { c.perSecond = 60 }), with(request, func(c *client) { c.priority = 1 })), false},
		"entries, large one less urgent":       {entries, clients(with(request, func(c *client) { c.perSecond, c.priority = 9, 1 }), request), false},
		"slots, large one less urgent":         {slotsShort, clients(with(brief, func(c *client) { c.perSecond, c.priority = 12, 1 }), brief), false},
		"slots, one repeats at once":           {slotsShort, clients(with(brief, func(c *client) { c.repeats = true }), brief), true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := c.model()
				const length = 75 * time.Second
				results := o.play(t, 1, length, c.clients)
				mean := meanFraction(results)
				if mean > 0.95 {
					t.Fatalf("%.2f of all requests served: no overload", mean)
				}
				for _, client := range c.clients {
					r := results[client.workspace]
					t.Logf("%s: served %d of %d requests (%.2f of the mean fraction), %d attempts", client.workspace, r.served, r.asked, r.fraction()/mean, r.attempts)
					if c.equal && r.fraction() < 0.75*mean {
						t.Errorf("%s: %.2f of the requests served, mean %.2f", client.workspace, r.fraction(), mean)
					}
					if r.fraction() < 0.25*mean {
						t.Errorf("%s: under a quarter of the mean fraction served", client.workspace)
					}
				}
				t.Logf("mean %.3f, idle while prompts waited %v", mean, o.idle)
				if o.idle > length/100 {
					t.Errorf("capacity idle for %v of %v while prompts waited", o.idle, length)
				}
			})
		})
	}
}

// meanFraction returns the served fraction of all requests.
func meanFraction(results map[string]result) float64 {
	var all result
	for _, r := range results {
		all.asked += r.asked
		all.served += r.served
	}
	return all.fraction()
}

// TestOneWorkspaceMayUseEverything guards against shares that hold a workspace back while
// nobody else waits, and against a different order where there are no workspaces.
func TestOneWorkspaceMayUseEverything(t *testing.T) {
	served := make(map[string]result)
	for _, workspace := range []string{"", "only"} {
		synctest.Test(t, func(t *testing.T) {
			o := overload{prefillEngines: 4, tokensPerSecond: 50000, streamTime: 500 * time.Millisecond}
			results := o.play(t, 1, 40*time.Second, []client{{workspace: workspace, perSecond: 80, tokens: 4000, output: 100}})
			served[workspace] = results[workspace]
		})
	}
	none, only := served[""], served["only"]
	t.Logf("without workspaces %+v, with one %+v", none, only)
	if only.fraction() < 0.95*none.fraction() {
		t.Errorf("one workspace alone: %.3f served, without workspaces %.3f", only.fraction(), none.fraction())
	}
}

// TestOrderWithoutWorkspaces guards against an order that changes where requests have no
// workspaces.
func TestOrderWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(&overloaded)
		for range 50 {
			q.options.Uses.Ask(time.Now(), "llm", "", "", false, 1000)
			q.options.Uses.Grant(time.Now(), "llm", "", 500)
		}
		now := time.Now()
		s := &situation{now: now, firstEvent: now, rate: priorRate, saturatedFor: time.Second, kinds: make(map[kind]*kindState)}
		s.shares = q.options.Uses.Shares(now, "llm")
		var waiting []*waiter
		for i := range 10 {
			arrived := now.Add(-time.Duration(i*7%10) * time.Millisecond)
			waiting = append(waiting, &waiter{Prompt: Prompt{Route: "a", Priority: i % 2, Tokens: 1000 * i, Arrived: arrived, Objective: time.Second}})
		}
		s.weighWorkspaces(waiting)
		slices.SortStableFunc(waiting, s.compare)
		if !slices.IsSortedFunc(waiting, func(a, b *waiter) int {
			if a.Priority != b.Priority {
				return a.Priority - b.Priority
			}
			return a.Arrived.Compare(b.Arrived)
		}) {
			t.Error("not in the order of priority and arrival")
		}
	})
}
