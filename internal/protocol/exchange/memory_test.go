package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// kvEngines are engines that end when their requests need more than their KV caches hold.
type kvEngines struct {
	mu   sync.Mutex
	used map[string]int
	most map[string]int
	// decoded is the sum over time of what the engines that decode hold, in token seconds.
	decoded float64
}

func (s *kvEngines) add(engine string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[engine] += tokens
	s.most[engine] = max(s.most[engine], s.used[engine])
}

// kvSender sends one request to the engines. It implements exchange.Sender and exchange.Sink.
type kvSender struct {
	downServers
	engines *kvEngines
	prompt  placement.Prompt
	length  time.Duration
	// fails is set if the engine that decodes breaks off before the first event.
	fails bool
}

func (s *kvSender) Prefill(ctx context.Context, a exchange.Attempt) (string, error) {
	s.engines.add(a.Engine.ID, s.prompt.Tokens)
	if !clock.Sleep(ctx, time.Duration(s.prompt.Tokens)*time.Second/50000) {
		s.engines.add(a.Engine.ID, -s.prompt.Tokens)
		return "", ctx.Err()
	}
	return "handle", nil
}

func (s *kvSender) Release(k exchange.KVSource) { s.engines.add(k.Engine.ID, -s.prompt.Tokens) }

func (s *kvSender) Send(ctx context.Context, a exchange.Attempt) (*exchange.Response, error) {
	need := s.prompt.Tokens + s.prompt.Output
	s.engines.add(a.Engine.ID, need)
	body, writer := io.Pipe()
	go func() {
		// An engine frees the memory of a request before it ends the response.
		freed := sync.OnceFunc(func() { s.engines.add(a.Engine.ID, -need) })
		defer freed()
		clock.Sleep(ctx, 20*time.Millisecond)
		if a.KVSource != nil {
			s.engines.add(a.KVSource.Engine.ID, -s.prompt.Tokens)
		}
		if s.fails {
			freed()
			_ = writer.CloseWithError(errReset)
			return
		}
		if _, err := io.WriteString(writer, "id: 1\ndata: a\n\n"); err == nil {
			began := time.Now()
			clock.Sleep(ctx, s.length)
			s.engines.mu.Lock()
			s.engines.decoded += time.Since(began).Seconds() * float64(need)
			s.engines.mu.Unlock()
		}
		freed()
		_ = writer.Close()
	}()
	return &exchange.Response{Success: true, EventStream: true, Status: 200, Body: body}, nil
}

func (s *kvSender) WriteResponse(*exchange.Response, []byte) error { return nil }
func (s *kvSender) BeginStream(*exchange.Response) error           { return nil }
func (s *kvSender) WriteEvents([]byte) error                       { return nil }

const kvCacheTokens = 100000

// kvEntries returns entries that exchange their loads like those of a deployment, every 25 ms,
// until ctx ends.
func kvEntries(ctx context.Context, n int, view *fleet.View) (entries []*exchange.Forwarder, trackers []*fleet.Tracker) {
	for i := range n {
		c, tracker := clock.NewRuntime(), fleet.NewTracker()
		tracker.SetPosition(i, n)
		entries = append(entries, exchange.New(exchange.Options{
			View: func() *fleet.View { return view }, Tracker: tracker, Outlier: outlier.NewSet(c), BoundMemory: true, Random: rand.IntN,
			Budget: func(string) *retry.Account { return retry.NewAccount(c, retry.Bound{Share: 1, Slack: 100}) }, Log: hclog.NewNullLogger(),
		}))
		trackers = append(trackers, tracker)
	}
	go func() {
		for clock.Sleep(ctx, digestInterval) {
			sum, own := fleet.NewSum(), make([]fleet.Work, n)
			for i, tracker := range trackers {
				own[i] = tracker.Own()
				sum.Add(own[i])
			}
			for i, tracker := range trackers {
				tracker.SetOthers(sum.Without(own[i]))
			}
		}
	}()
	return entries, trackers
}

func kvRequest(i int, prompt placement.Prompt) *exchange.Request {
	return &exchange.Request{
		ID: fmt.Sprint(i), Deadline: time.Now().Add(12 * time.Second), Prompt: &prompt,
		Route:   &route.Route{Name: "a", Kind: route.Streaming, MaxAttempts: 3, Resumable: true, Objective: time.Second, EventGap: 5 * time.Second, Timeout: 12 * time.Second},
		Service: route.Service{Name: "llm", Engine: &route.EngineClass{KVTokens: kvCacheTokens, HandleTTL: 2 * time.Second}},
	}
}

// TestEnginesKeepTheirMemory plays entries with more work than the engines' memory holds, and
// guards against engines that get more, which end, against requests that are neither answered nor
// refused as not run, and against memory that stays counted.
func TestEnginesKeepTheirMemory(t *testing.T) {
	for name, fails := range map[string]bool{"streams": false, "some fail": true} {
		synctest.Test(t, func(t *testing.T) {
			const entriesCount, perSecond, seconds = 4, 40, 20
			var list []fleet.Engine
			for i := range 3 {
				list = append(list, fleet.Engine{ID: fmt.Sprint("p", i), Service: "llm", Phase: fleet.Prefill, Slots: 64},
					fleet.Engine{ID: fmt.Sprint("d", i), Service: "llm", Phase: fleet.Decode, Slots: 64})
			}
			engines := &kvEngines{used: make(map[string]int), most: make(map[string]int)}
			ctx, cancel := context.WithCancel(t.Context())
			entries, trackers := kvEntries(ctx, entriesCount, fleet.NewView(list))
			random := rand.New(rand.NewPCG(1, 1))
			results := make(map[string]int)
			var mu sync.Mutex
			var running sync.WaitGroup
			for i := range perSecond * seconds {
				time.Sleep(time.Second / perSecond)
				prompt := placement.Prompt{Tokens: 6000 + random.IntN(6000), Output: 500}
				if i%3 == 0 {
					prompt = placement.Prompt{Tokens: 300, Output: 200}
				}
				sender := &kvSender{engines: engines, prompt: prompt, length: time.Second + time.Duration(random.IntN(3000))*time.Millisecond, fails: fails && i%10 == 0}
				running.Go(func() {
					o := entries[i%entriesCount].Run(ctx, kvRequest(i, prompt), sender, sender)
					mu.Lock()
					defer mu.Unlock()
					results[o.Result.String()]++
					if o.Result == exchange.Refused && !errors.Is(o.Err, exchange.ErrOverloaded) {
						t.Errorf("%s: refused with %v", name, o.Err)
					}
				})
			}
			running.Wait()
			for engine, most := range engines.most {
				if most > kvCacheTokens {
					t.Errorf("%s: %s got requests for %d tokens, has %d", name, engine, most, kvCacheTokens)
				}
			}
			use := engines.decoded / (3 * kvCacheTokens * seconds)
			t.Logf("%s: %v, memory of the engines that decode used %.2f, most %v", name, results, use, engines.most)
			if use < 0.5 || results["delivered"] == 0 || results["refused"] == 0 {
				t.Errorf("%s: %v, used %.2f of the memory: want an overload that is served in part", name, results, use)
			}
			time.Sleep(5 * time.Second)
			for _, tracker := range trackers {
				if own := tracker.Own(); len(own.Engines) > 0 {
					t.Errorf("%s: %+v counted after the end of all requests", name, own.Engines)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestRequestThatNeverFitsIsRefused guards against a request that waits for memory that no engine
// has, and against one that a server is ordered to run.
func TestRequestThatNeverFitsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &kvEngines{used: make(map[string]int), most: make(map[string]int)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		entries, _ := kvEntries(ctx, 1, fleet.NewView([]fleet.Engine{{ID: "d", Service: "llm", Phase: fleet.Decode, Slots: 64}}))
		prompt := placement.Prompt{Tokens: kvCacheTokens, Output: 1}
		sender := &kvSender{engines: engines, prompt: prompt}
		o := entries[0].Run(ctx, kvRequest(0, prompt), sender, sender)
		if o.Result != exchange.Refused || !errors.Is(o.Err, exchange.ErrOverloaded) || o.Attempts != 0 || engines.most["d"] != 0 {
			t.Errorf("got %v after %d sends, error %v; want a refusal without a send", o.Result, o.Attempts, o.Err)
		}
	})
}

// TestHandleCountsUntilFetched guards against prefill engines that are taken to be empty while
// they hold KV caches that nobody has fetched.
func TestHandleCountsUntilFetched(t *testing.T) {
	w := newFixture(reply{status: 200, events: true, body: "id: 1\ndata: a\n\n"})
	prompt := placement.Prompt{Tokens: 2000, Output: 100}
	var prefill, decode int
	w.onSend = func() {
		for engine, load := range w.tracker.Own().Engines {
			if strings.HasPrefix(engine, "p") {
				prefill += load.KVTokens
			} else {
				decode += load.KVTokens
			}
		}
	}
	request := streamRequest(true, 2000)
	request.Prompt = &prompt
	if o := w.run(t, request); o.Result != exchange.Delivered {
		t.Fatalf("got %v, error %v", o.Result, o.Err)
	}
	if prefill != 2000 || decode != 2100 {
		t.Errorf("%d tokens counted at prefill engines and %d at decode engines during the send, want 2000 and 2100", prefill, decode)
	}
	if own := w.tracker.Own(); len(own.Engines) != 0 {
		t.Errorf("%+v counted at the end", own.Engines)
	}
}
