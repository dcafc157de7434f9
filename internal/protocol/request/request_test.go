package request

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

const callerTimeout = 30 * time.Second

// scenario is a randomly drawn run of one caller.
type scenario struct {
	tokens  int
	engines int
	// faults holds the fault of each attempt in order, and faultAt the number
	// of tokens of the attempt at which it comes; later attempts have none.
	faults  []fault
	faultAt []int
	// disconnects holds, for each connection of the caller in order, the number
	// of tokens after which its entry is lost.
	disconnects []int
}

func drawScenario(t *rapid.T) scenario {
	p := scenario{
		tokens:  rapid.IntRange(1, 20).Draw(t, "tokens"),
		engines: rapid.IntRange(1, 4).Draw(t, "engines"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "faulty attempts") {
		p.faults = append(p.faults, fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")))
		p.faultAt = append(p.faultAt, rapid.IntRange(1, p.tokens).Draw(t, "at"))
	}
	for range rapid.IntRange(0, 2).Draw(t, "lost entries") {
		p.disconnects = append(p.disconnects, rapid.IntRange(0, p.tokens).Draw(t, "leave after"))
	}
	return p
}

// run plays a scenario. lastErr is the last error that the caller got;
// violation is set if a guarantee of the protocol was broken.
func (p scenario) run(c *fakeCaller) (lastErr, violation error) {
	f := &fakeEngines{faultFor: func(attempt int) (fault, int) {
		if attempt > len(p.faults) {
			return noFault, 0
		}
		return p.faults[attempt-1], p.faultAt[attempt-1]
	}}
	call := Call{Prompt: "reseat twelve task chairs", MaxTokens: p.tokens}
	for try := range len(p.disconnects) + 1 {
		c.disconnectAfter = -1
		if try < len(p.disconnects) {
			c.disconnectAfter = p.disconnects[try]
		}
		call.ResumeFrom = c.next()
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		lastErr = f.newRunner(p.engines).Run(ctx, &call, testClass, c)
		cancel()
		if lastErr == nil || !errors.Is(lastErr, errCallerGone) {
			break
		}
	}
	synctest.Wait()
	if f.openStreams != 0 {
		return lastErr, errors.New("a stream was left open at an engine")
	}
	if lastErr == nil && c.done == nil {
		return lastErr, errors.New("caller got neither an error nor the last event")
	}
	return lastErr, c.check(&call)
}

// TestAnswerIsCompleteOrVisiblyTruncated draws faults of engines and losses of
// entries. The caller must get each offset once, and must be able to tell a
// truncated answer from a complete one.
func TestAnswerIsCompleteOrVisiblyTruncated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		var violation error
		synctest.Test(t, func(*testing.T) { _, violation = p.run(&fakeCaller{}) })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// TestRecoversFromEachFault injects each kind of fault once. The caller must
// get a complete answer, except that a corrupt answer must be refused.
func TestRecoversFromEachFault(t *testing.T) {
	for kind := noFault; kind < faultKinds; kind++ {
		synctest.Test(t, func(t *testing.T) {
			p := scenario{tokens: 10, engines: 2, faults: []fault{kind}, faultAt: []int{4}}
			c := &fakeCaller{}
			lastErr, violation := p.run(c)
			if violation != nil {
				t.Errorf("fault %d: %v", kind, violation)
			}
			if kind == corrupts {
				wantRefusal(t, lastErr, refusal.Corrupt, refusal.ExecutedUnknown)
			} else if lastErr != nil {
				t.Errorf("fault %d: got error %v, want a complete answer", kind, lastErr)
			}
		})
	}
}

func TestCheckerDetectsInjectedFaults(t *testing.T) {
	for _, injected := range []injectedFault{duplicatesToken, dropsToken} {
		synctest.Test(t, func(t *testing.T) {
			_, violation := scenario{tokens: 5, engines: 1}.run(&fakeCaller{injected: injected})
			if violation == nil {
				t.Errorf("%s: checker found no violation", injected)
			}
		})
	}
	t.Run(string(endsTruncated), func(t *testing.T) {
		call := &Call{Prompt: "p", MaxTokens: 5}
		c := &fakeCaller{}
		s := &fakeStream{}
		for offset := range 3 {
			e := s.token(offset, "x")
			c.take(&e)
		}
		d := finalEvent(s.request)
		d.Tokens = call.MaxTokens
		_ = c.Done(d)
		if c.check(call) == nil {
			t.Error("checker found no violation")
		}
	})
}

func wantRefusal(t *testing.T, err error, kind refusal.Kind, executed refusal.Executed) {
	t.Helper()
	var refused *refusal.Error
	if !errors.As(err, &refused) || refused.Kind != kind || refused.Executed != executed {
		t.Errorf("got error %v, want refusal %s with executed %s", err, kind, executed)
	}
}

// TestRefusals checks the refusal that a caller gets if no engine completes its
// request.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		engines  int
		fault    fault
		kind     refusal.Kind
		executed refusal.Executed
	}{
		{"no engine", 0, noFault, refusal.Unavailable, refusal.ExecutedNo},
		{"connections refused", 2, refusesConnection, refusal.Unavailable, refusal.ExecutedNo},
		{"requests refused", 2, refusesRequest, refusal.Unavailable, refusal.ExecutedUnknown},
		{"engines crash", 2, crashes, refusal.Unavailable, refusal.ExecutedUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngines{faultFor: func(int) (fault, int) { return test.fault, 1 }}
				start := time.Now()
				err := f.newRunner(test.engines).Run(t.Context(), &Call{Prompt: "p", MaxTokens: 3}, testClass, &fakeCaller{disconnectAfter: -1})
				wantRefusal(t, err, test.kind, test.executed)
				if waited := time.Since(start); waited > 2*time.Second {
					t.Errorf("refused after %v, want at most 2s", waited)
				}
			})
		})
	}
}

// TestNoRetryStorm has engines refuse connections. The retries must stay within
// the retry budget.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{faultFor: func(int) (fault, int) { return refusesConnection, 0 }}
		p := f.newRunner(12)
		const requests = 500
		for range requests {
			_ = p.Run(t.Context(), &Call{Prompt: "p", MaxTokens: 1}, testClass, &fakeCaller{disconnectAfter: -1})
		}
		if limit := requests + 20; f.attempts > limit {
			t.Errorf("%d attempts for %d requests, want at most %d", f.attempts, requests, limit)
		}
	})
}

// TestSilentEngineKeepsStreamThatNoOtherCanTake guards against ending a stream for its
// engine's silence when no retry or no other engine is left.
func TestSilentEngineKeepsStreamThatNoOtherCanTake(t *testing.T) {
	for name, c := range map[string]struct {
		engines, reserve int
		gate             Gate
	}{
		"no retry left":    {2, 0, openGate{}},
		"no other engine":  {1, 5, openGate{}},
		"lease has lapsed": {2, 5, &lapsingGate{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngines{faultFor: func(int) (fault, int) { return pauses, 2 }}
				p := f.newRunner(c.engines)
				p.Budget, p.Gate = retry.NewBudget(retry.DefaultShare, c.reserve), c.gate
				caller := &fakeCaller{disconnectAfter: -1}
				call := &Call{Prompt: "p", MaxTokens: 5}
				if err := p.Run(t.Context(), call, testClass, caller); err != nil || caller.check(call) != nil || f.attempts != 1 {
					t.Errorf("got error %v after %d attempts, want the whole answer of one", err, f.attempts)
				}
				for range c.reserve {
					if !p.Budget.Spend() {
						t.Error("retries were spent that were not made")
					}
				}
			})
		})
	}
}

// TestAnswerIsNotJoinedFromTwoVersions breaks answers while engines of another version are idle.
func TestAnswerIsNotJoinedFromTwoVersions(t *testing.T) {
	for name, c := range map[string]struct {
		software []string
		complete bool
	}{
		"another engine of v1":    {[]string{"v1", "v2", "v2", "v1"}, true},
		"no other engine of v1":   {[]string{"v1", "v2", "v2"}, false},
		"engines report none":     {[]string{"", ""}, true},
		"only one engine reports": {[]string{"", "v2"}, false},
	} {
		for _, kind := range []fault{crashes, stalls, moves} {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngines{software: c.software, faultFor: func(int) (fault, int) { return noFault, 0 }}
				brokenAt := ""
				f.faultFor = func(attempt int) (fault, int) {
					if attempt == 1 || f.urls[attempt-1] == brokenAt {
						brokenAt = f.urls[0]
						return kind, 3
					}
					return noFault, 0
				}
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				err := f.newRunner(len(c.software)).Run(ctx, &Call{Prompt: "p", MaxTokens: 10}, testClass, &fakeCaller{disconnectAfter: -1})
				if kind == crashes && (err == nil) != c.complete {
					t.Errorf("%s, fault %d: got error %v, want a complete answer: %t", name, kind, err, c.complete)
				}
				for _, url := range f.urls[1:] {
					if got, want := c.software[engineIndex(url)], c.software[engineIndex(f.urls[0])]; got != want {
						t.Errorf("%s, fault %d: an answer of %q went on at %s of %q: %v", name, kind, want, url, got, f.urls)
					}
				}
			})
		}
	}
}

// engineIndex returns the index of the fake engine with the given URL.
func engineIndex(url string) int {
	return int(url[len(url)-1] - '0')
}
