package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
)

// TestRateFitsFixedAndProportionalTime measures an engine that takes 60 ms and
// 8 us a token, with noise.
func TestRateFitsFixedAndProportionalTime(t *testing.T) {
	var r placement.Rate
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		tokens := 1000 + random.IntN(40000)
		ms := 60 + float64(tokens)*0.008 + random.NormFloat64()*15
		r.Measured(tokens, time.Duration(ms*float64(time.Millisecond)))
	}
	for _, tokens := range []int{2000, 20000, 50000} {
		want := 60 + float64(tokens)*0.008
		if got := r.Time(float64(tokens)).Seconds() * 1000; got < want*0.85 || got > want*1.15 {
			t.Errorf("%d tokens take %.0f ms, want about %.0f", tokens, got, want)
		}
	}
}

func TestRateBeforeMeasurements(t *testing.T) {
	var r placement.Rate
	r.Measured(1000, time.Second)
	if got := r.Time(5000); got != 100*time.Millisecond {
		t.Errorf("5000 tokens take %v", got)
	}
}
