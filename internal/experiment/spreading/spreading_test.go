package spreading

import (
	"math"
	"testing"
	"time"
)

// TestPredictionOfThePaper repeats the example of section 4: 100 members each
// with ratings 1 and 0.5; within 15 rounds an update reaches 99 % and half.
func TestPredictionOfThePaper(t *testing.T) {
	near, far := fitParameters(100, 100, 0.5, 15)
	x := unreachedFraction(near, far, 1, 15)
	if math.Abs(x-missedFraction) > 0.001 {
		t.Errorf("missed %.4f of the members with rating 1, want %.2f", x, missedFraction)
	}
	if y := math.Pow(x, far.susceptibility/near.susceptibility); math.Abs(y-0.5) > 0.01 {
		t.Errorf("missed %.3f of the members with rating 0.5, want half", y)
	}
}

// TestGossipFollowsThePrediction checks a run against the model's timeout.
func TestGossipFollowsThePrediction(t *testing.T) {
	o := Options{Nodes: 120, Zones: 3, Engines: 7, Rounds: 60, Seed: 1}
	r := Gossip(o, 0.2, 10, time.Second)
	if r.Near[2] > 12 || r.Near[0] < 1 {
		t.Errorf("ages in the zone %v, want 99%% within about 10 s", r.Near)
	}
	if r.Far[0] <= r.Near[0] {
		t.Errorf("ages beyond the zone %v are not above those within %v", r.Far, r.Near)
	}
}
