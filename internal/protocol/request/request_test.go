package request

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

const callerTimeout = 30 * time.Second

// plan is a drawn run of one caller.
type plan struct {
	tokens  int
	engines int
	// faults are those of the attempts in turn; later attempts have none.
	faults []fault
	at     []int
	// leaves are the tokens after which the caller's entry is lost, in turn.
	leaves []int
}

func drawPlan(t *rapid.T) plan {
	p := plan{
		tokens:  rapid.IntRange(1, 20).Draw(t, "tokens"),
		engines: rapid.IntRange(1, 4).Draw(t, "engines"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "faulty attempts") {
		p.faults = append(p.faults, fault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fault")))
		p.at = append(p.at, rapid.IntRange(1, p.tokens).Draw(t, "at"))
	}
	for range rapid.IntRange(0, 2).Draw(t, "lost entries") {
		p.leaves = append(p.leaves, rapid.IntRange(0, p.tokens).Draw(t, "leave after"))
	}
	return p
}

// run carries out a plan. It returns the last error that the caller was told.
func (p plan) run(c *caller) (told, verdict error) {
	f := &engines{draw: func(attempt int) (fault, int) {
		if attempt > len(p.faults) {
			return none, 0
		}
		return p.faults[attempt-1], p.at[attempt-1]
	}}
	call := Call{Prompt: "reseat twelve task chairs", MaxTokens: p.tokens}
	for try := range len(p.leaves) + 1 {
		c.leaveAfter = -1
		if try < len(p.leaves) {
			c.leaveAfter = p.leaves[try]
		}
		call.From = c.next()
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		told = f.entry(p.engines).Run(ctx, &call, testClass, c)
		cancel()
		if told == nil || !errors.Is(told, errGone) {
			break
		}
	}
	synctest.Wait()
	if f.open != 0 {
		return told, errors.New("a stream was left open at an engine")
	}
	if told == nil && c.done == nil {
		return told, errors.New("no error and no last event")
	}
	return told, c.check(&call)
}

// TestWholeOrVisiblyCut draws engines' faults and lost entries and shows that
// the caller has each offset once and that a cut answer never looks whole.
func TestWholeOrVisiblyCut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var verdict error
		synctest.Test(t, func(*testing.T) { _, verdict = p.run(&caller{}) })
		if verdict != nil {
			rt.Fatal(verdict)
		}
	})
}

// TestSurvivesEachFault shows that each single fault that can be mended gives
// a whole answer.
func TestSurvivesEachFault(t *testing.T) {
	for kind := none; kind < faultKinds; kind++ {
		synctest.Test(t, func(t *testing.T) {
			p := plan{tokens: 10, engines: 2, faults: []fault{kind}, at: []int{4}}
			c := &caller{}
			told, verdict := p.run(c)
			if verdict != nil {
				t.Errorf("fault %d: %v", kind, verdict)
			}
			if kind == corrupts {
				wantRefusal(t, told, refusal.Corrupt, refusal.Unknown)
			} else if told != nil {
				t.Errorf("fault %d: told %v", kind, told)
			}
		})
	}
}

func TestCheckerFindsPlantedFaults(t *testing.T) {
	for _, planted := range []plantedFault{repeatsToken, losesToken} {
		synctest.Test(t, func(t *testing.T) {
			_, verdict := plan{tokens: 5, engines: 1}.run(&caller{planted: planted})
			if verdict == nil {
				t.Errorf("%s: the checker found nothing", planted)
			}
		})
	}
	t.Run(string(endsCut), func(t *testing.T) {
		call := &Call{Prompt: "p", MaxTokens: 5}
		c := &caller{}
		s := &script{}
		for offset := range 3 {
			e := s.token(offset, "x")
			c.take(&e)
		}
		d := whole(s.request)
		d.Tokens = call.MaxTokens
		_ = c.Done(d)
		if c.check(call) == nil {
			t.Error("the checker found nothing")
		}
	})
}

func wantRefusal(t *testing.T, err error, kind refusal.Kind, executed refusal.Executed) {
	t.Helper()
	var refused *refusal.Error
	if !errors.As(err, &refused) || refused.Kind != kind || refused.Executed != executed {
		t.Errorf("error is %v, want refusal %s with executed %s", err, kind, executed)
	}
}

// TestRefusals shows what a caller is told if no engine takes its request.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		engines  int
		fault    fault
		kind     refusal.Kind
		executed refusal.Executed
	}{
		{"no engine", 0, none, refusal.Unavailable, refusal.No},
		{"no connection", 2, refusesConnection, refusal.Unavailable, refusal.No},
		{"engines refuse", 2, refusesRequest, refusal.Unavailable, refusal.Unknown},
		{"engines crash", 2, crashes, refusal.Unavailable, refusal.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &engines{draw: func(int) (fault, int) { return test.fault, 1 }}
				start := time.Now()
				err := f.entry(test.engines).Run(t.Context(), &Call{Prompt: "p", MaxTokens: 3}, testClass, &caller{leaveAfter: -1})
				wantRefusal(t, err, test.kind, test.executed)
				if waited := time.Since(start); waited > 2*time.Second {
					t.Errorf("refused after %v", waited)
				}
			})
		})
	}
}

// TestNoRetryStorm lets a third of the engines vanish and shows that the
// attempts stay within the budget.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &engines{draw: func(int) (fault, int) { return refusesConnection, 0 }}
		p := f.entry(12)
		const requests = 500
		for range requests {
			_ = p.Run(t.Context(), &Call{Prompt: "p", MaxTokens: 1}, testClass, &caller{leaveAfter: -1})
		}
		if limit := requests + 20; f.attempts > limit {
			t.Errorf("%d attempts for %d requests, want at most %d", f.attempts, requests, limit)
		}
	})
}
