package load

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

func testMix() *Mix {
	return &Mix{
		Seed:     7,
		Duration: strictjson.Duration(100 * time.Second),
		Completions: []CompletionSource{{
			Team: "desk", Class: "quote", Customers: []string{"a", "b"}, Rate: 10,
			PromptTokens: 100, OutputTokens: 50, ExpectedWait: strictjson.Duration(time.Second), Worth: 2,
		}},
		Calls:  []CallSource{{Service: "booking", Path: "collections", Customers: []string{"a"}, Rate: 5, Repeat: 0.5, ExpectedWait: strictjson.Duration(time.Second), Worth: 1}},
		Phases: []Phase{{At: strictjson.Duration(50 * time.Second), Rate: 2, Prompt: 4, Output: 0.5}},
	}
}

func TestArrivalsFollowSeedAndPhases(t *testing.T) {
	first, second := Arrivals(testMix()), Arrivals(testMix())
	if len(first) != len(second) || !reflect.DeepEqual(first[len(first)-1].Key, second[len(second)-1].Key) {
		t.Fatal("two runs with the same seed gave different arrivals")
	}
	var early, late, earlyPrompt, latePrompt int
	for _, a := range first {
		switch {
		case a.Completion == nil:
		case a.At < 50*time.Second:
			early++
			earlyPrompt += a.PromptTokens
		default:
			late++
			latePrompt += a.PromptTokens
		}
	}
	if early < 400 || early > 600 || late < 850 || late > 1150 {
		t.Errorf("arrivals = %d then %d, want about 500 then 1000", early, late)
	}
	if mean := earlyPrompt / early; mean < 85 || mean > 115 {
		t.Errorf("mean prompt before the phase = %d tokens, want about 100", mean)
	}
	if mean := latePrompt / late; mean < 340 || mean > 460 {
		t.Errorf("mean prompt in the phase = %d tokens, want about 400", mean)
	}
}

// tokens renders the event stream of the answer to prompt with the token offsets
// from <= offset < n, and with the done event if complete.
func tokens(prompt string, from, n int, complete bool) string {
	var b strings.Builder
	digest := backend.NewDigest()
	for i := range n {
		text := fakeengine.Token(prompt, i)
		digest.Add(text)
		if i >= from {
			fmt.Fprintf(&b, "id: %d\nevent: token\ndata: {\"offset\": %d, \"text\": %q}\n\n", i, i, text)
		}
	}
	if complete {
		fmt.Fprintf(&b, "event: done\ndata: {\"tokens\": %d, \"digest\": %q}\n\n", n, digest.Hex())
	}
	return b.String()
}

func TestStreamReaderClassifiesStreams(t *testing.T) {
	tests := []struct {
		name   string
		bodies []string
		want   Outcome
	}{
		{"complete", []string{tokens("p", 0, 5, true)}, Complete},
		{"resumed", []string{tokens("p", 0, 3, false), tokens("p", 3, 5, true)}, Complete},
		{"truncated", []string{tokens("p", 0, 3, false)}, Truncated},
		{"truncated answer with done event", []string{tokens("p", 0, 4, true)}, Invalid},
		{"repeated offset", []string{tokens("p", 0, 3, false), tokens("p", 2, 5, true)}, Invalid},
		{"gap", []string{tokens("p", 0, 2, false), tokens("p", 3, 5, true)}, Invalid},
		{"another request's answer", []string{tokens("q", 0, 5, true)}, Invalid},
		{"wrong digest", []string{strings.Replace(tokens("p", 0, 5, true), `"digest": "`, `"digest": "0`, 1)}, Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newStreamReader("p", true)
			var err error
			for _, body := range test.bodies {
				err = a.read(strings.NewReader(body), func(time.Duration) {})
			}
			if got := a.outcome(err, 5); got != test.want {
				t.Errorf("outcome = %s (error %v), want %s", got, err, test.want)
			}
		})
	}
}

func TestErrorEventIsReportedAsTruncated(t *testing.T) {
	err := newStreamReader("p", true).read(strings.NewReader("event: error\ndata: {}\n\n"), nil)
	if !errors.Is(err, errTruncated) {
		t.Errorf("error = %v, want errTruncated", err)
	}
}

func TestReportCountsGoodputAndViolations(t *testing.T) {
	mix := testMix()
	quote, call := &mix.Completions[0], &mix.Calls[0]
	results := []Result{
		{Arrival: &Arrival{Completion: quote}, Outcome: Complete, Latency: 900 * time.Millisecond},
		{Arrival: &Arrival{Completion: quote}, Outcome: Complete, Latency: 1100 * time.Millisecond},
		{Arrival: &Arrival{Call: call, Key: "once"}, Outcome: Complete, Latency: time.Millisecond},
		{Arrival: &Arrival{Call: call, Key: "twice"}, Outcome: Complete, Latency: time.Millisecond},
		{Arrival: &Arrival{Call: call, Key: "false-no"}, Outcome: Refused, Executed: "no"},
	}
	report := NewReport(7, results, map[string]int{"once": 1, "twice": 2, "false-no": 1})
	if report.Good != 4 || report.Offered != 7 {
		t.Errorf("worth = %v of %v, want 4 of 7", report.Good, report.Offered)
	}
	if report.Doubled != 1 || report.FalseNotRun != 1 {
		t.Errorf("doubled, false not run = %d, %d, want 1, 1", report.Doubled, report.FalseNotRun)
	}
}
