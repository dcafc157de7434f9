package fleet_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestDemandIsThatOfTheLastSeconds guards against demand that is counted for too long or
// too short, or not at all while nothing changes.
func TestDemandIsThatOfTheLastSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fleet.NewDemandCounter(clock.NewRuntime())
		check := func(when string, requests, tokens, inProgress float64) {
			t.Helper()
			var sum fleet.DemandSum
			sum.Add(c.Recent()["llm"])
			got := sum.Total()
			near := func(got, want float64) bool { return math.Abs(got-want) <= 0.06*max(1, want) }
			if !near(got.Requests, requests) || !near(got.PromptTokens, tokens) || !near(got.InProgress, inProgress) {
				t.Errorf("%s: got %+v, want %g requests, %g tokens, %g in progress", when, got, requests, tokens, inProgress)
			}
		}
		if len(c.Recent()) != 0 {
			t.Error("got demand before the first request, want none")
		}
		// 50 requests a second, each 400 ms long.
		for range 200 {
			c.Request("llm", 1000)
			done := c.Begin("llm")
			time.AfterFunc(400*time.Millisecond, func() { done(); done() })
			time.Sleep(20 * time.Millisecond)
		}
		check("under load", 50, 50_000, 20)
		time.Sleep(3 * time.Second)
		check("3 s after the load", 0, 0, 0)
		done := c.Begin("llm")
		time.Sleep(time.Minute)
		check("with one long stream", 0, 0, 1)
		done()
		time.Sleep(3 * time.Second)
		check("after the stream", 0, 0, 0)
	})
}

// TestEngineRatesAreWeighted guards against speeds of entries that measured little, or
// nothing, that count as much as those of others.
func TestEngineRatesAreWeighted(t *testing.T) {
	var sum fleet.DemandSum
	sum.Add(fleet.Demand{Interval: time.Second, PromptTokens: 90_000, EngineRate: 40_000})
	sum.Add(fleet.Demand{Interval: time.Second, PromptTokens: 10_000, EngineRate: 60_000})
	sum.Add(fleet.Demand{Interval: time.Second, PromptTokens: 10_000})
	sum.Add(fleet.Demand{})
	if got := sum.Total(); math.Abs(got.EngineRate-42_000) > 10 || got.PromptTokens != 110_000 {
		t.Errorf("got %+v, want 42,000 tokens a second for an engine and 110,000 in all", got)
	}
}

// TestNilDemandCounterCountsNothing guards against a panic where nothing is counted.
func TestNilDemandCounterCountsNothing(t *testing.T) {
	var c *fleet.DemandCounter
	c.Request("llm", 1)
	c.Begin("llm")()
	c.SetEngineRate("llm", 1)
	if got := c.Recent(); len(got) != 0 {
		t.Errorf("got demand %v, want none", got)
	}
}

func BenchmarkDemand(b *testing.B) {
	c := fleet.NewDemandCounter(clock.Boot{})
	for b.Loop() {
		c.Request("llm", 1000)
		c.Begin("llm")()
	}
}
