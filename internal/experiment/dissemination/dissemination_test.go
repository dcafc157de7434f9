package dissemination

import (
	"math"
	"testing"
	"time"
)

// TestPredictionOfThePaper checks the example of section 4 of the paper: of 100
// members each with ratings 1 and 0.5, an update reaches 99 % and half within 15
// rounds.
func TestPredictionOfThePaper(t *testing.T) {
	near, far := fitParameters(100, 100, 0.5, 15)
	x := unreachedFraction(near, far, 1, 15)
	if math.Abs(x-missedFraction) > 0.001 {
		t.Errorf("missed fraction of the members with rating 1 = %.4f, want %.2f", x, missedFraction)
	}
	if y := math.Pow(x, far.susceptibility/near.susceptibility); math.Abs(y-0.5) > 0.01 {
		t.Errorf("missed fraction of the members with rating 0.5 = %.3f, want 0.5", y)
	}
}

// TestGossipFollowsThePrediction checks that a simulated run spreads updates
// within about the timeout of the model.
func TestGossipFollowsThePrediction(t *testing.T) {
	o := Options{Nodes: 120, Zones: 3, Engines: 7, Rounds: 60, Seed: 1}
	r := Gossip(o, 0.2, 10, time.Second)
	if r.Near[2] > 12 || r.Near[0] < 1 {
		t.Errorf("ages in the zone (p50, p95, p99) = %v s, want p50 of at least 1 and p99 of at most 12", r.Near)
	}
	if r.Far[0] <= r.Near[0] {
		t.Errorf("median age outside the zone is not above that inside: ages %v s, inside %v s", r.Far, r.Near)
	}
}
