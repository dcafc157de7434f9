package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
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
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// pacedSender answers with streams whose events have a constant pace.
type pacedSender struct {
	modelCall
	events int
	pace   time.Duration
}

func (s *pacedSender) Send(context.Context, exchange.Attempt) (*exchange.Response, error) {
	time.Sleep(s.pace)
	return &exchange.Response{Success: true, EventStream: true, Status: 200, Body: &pacedBody{left: s.events, pace: s.pace}}, nil
}

type pacedBody struct {
	left, sent int
	pace       time.Duration
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent == b.left {
		return 0, io.EOF
	}
	if b.sent > 0 {
		time.Sleep(b.pace)
	}
	b.sent++
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.sent)), nil
}

func (b *pacedBody) Close() error { return nil }

// TestPlacementLearnsAndSaysWhy guards against a decision by costs that nobody can follow in the
// log, against learned speeds that nothing feeds, and against predictions that don't reach
// the metrics. Without costs, the log line must stay as it is.
func TestPlacementLearnsAndSaysWhy(t *testing.T) {
	for _, c := range []struct {
		name  string
		costs *cost.Model
	}{{"costs", cost.NewModel()}, {"scores", nil}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				view := fleet.NewView([]fleet.Engine{
					{ID: "d0", Service: "llm", Phase: fleet.Decode, Slots: 24},
					{ID: "d1", Service: "llm", Phase: fleet.Decode, Slots: 24},
				})
				budget := retry.NewAccount(clock.NewRuntime(), retry.Bound{Share: 0.2, Slack: 10, Window: 10 * time.Second})
				f := exchange.New(exchange.Options{
					View: func() *fleet.View { return view }, Tracker: fleet.NewTracker(), Outlier: outlier.NewSet(clock.NewRuntime()),
					Budget: func(string) *retry.Account { return budget }, Random: func(int) int { return 0 },
					Log: hclog.New(&hclog.LoggerOptions{Output: &log}), Costs: c.costs,
				})
				before := cost.NewModel().Speeds("llm").StepAt().At(0, 1)
				var outcome exchange.Outcome
				for range 20 {
					s := &pacedSender{events: 40, pace: 30 * time.Millisecond}
					s.impatient = time.NewTimer(time.Hour)
					r := streaming("question", 300*time.Millisecond)
					outcome = f.Run(t.Context(), &exchange.Request{
						ID: "r", Route: &r, Service: route.Service{Name: "llm"}, Deadline: time.Now().Add(5 * time.Second),
						Prompt: &placement.Prompt{Tokens: 200, ExpectedOutput: 10},
					}, s, s)
				}
				says := strings.Contains(log.String(), "cost_ms=") && strings.Contains(log.String(), "next_cost_ms=") && strings.Contains(log.String(), "predicted_first_ms=")
				if says != (c.costs != nil) {
					t.Errorf("log gives reasons: %v\n%.600s", says, log.String())
				}
				if predicted := outcome.PredictedFirst > 0; predicted != (c.costs != nil) {
					t.Errorf("predicted the first event after %v", outcome.PredictedFirst)
				}
				if c.costs == nil {
					return
				}
				if after := c.costs.Speeds("llm").StepAt().At(0, 1); after < 1.5*before {
					t.Errorf("step of %.1f ms, %.1f by the prior, want about the 30 of the engines", after, before)
				}
				if output := c.costs.Output(time.Now(), "llm", cost.Kind{Route: "question"}, 10, 0); output.Median < 25 {
					t.Errorf("%.0f tokens expected where callers say 10, want about the 40 that came", output.Median)
				}
			})
		})
	}
}
