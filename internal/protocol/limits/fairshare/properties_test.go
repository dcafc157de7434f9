package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTargetsOfAnyDemands guards against targets that are no numbers, exceed the demand or the
// capacity, leave capacity unused, or are below three quarters of a proportional share.
func TestTargetsOfAnyDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "n")
		var demands []Demand
		sum := 0.0
		for range n {
			d := Demand{Asked: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1e-6), rapid.Float64Range(0, 1e9)).Draw(t, "asked"), Members: float64(rapid.IntRange(0, 10000).Draw(t, "members"))}
			demands = append(demands, d)
			sum += d.Asked
		}
		capacity := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1e10)).Draw(t, "capacity")
		got, total := Targets(demands, capacity), 0.0
		for i, x := range got {
			total += x
			floor := 0.0
			if sum > 0 {
				floor = 0.75 * min(1, capacity/sum) * demands[i].Asked
			}
			if math.IsNaN(x) || x < floor*(1-1e-9) || x > demands[i].Asked*(1+1e-9)+1e-9 {
				t.Fatalf("target %v of %v, want at least %v", x, demands[i], floor)
			}
		}
		if want := min(capacity, sum); math.Abs(total-want) > 1e-6*want+1e-9 {
			t.Fatalf("targets of %v in all, want %v", total, want)
		}
	})
}

// TestSumOfAnyReports guards against a sum that misses an entry's report or counts it twice,
// whatever workspaces it names, and against items that stay after the last report.
func TestSumOfAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum, held, now := NewSum(), make(map[int][]Use), time.Unix(1, 0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			entry := rapid.IntRange(0, 4).Draw(t, "entry")
			var newer []Use
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 80), rapid.ID[int]).Draw(t, "workspaces") {
				name := ""
				if n > 0 {
					name = fmt.Sprint("w", n)
				}
				newer = append(newer, Use{"llm", name, float64(rapid.IntRange(0, 100).Draw(t, "asked")), float64(rapid.IntRange(0, 50).Draw(t, "granted"))})
			}
			sum.Replace(held[entry], newer)
			held[entry] = newer
			now = now.Add(sumAge)
			want, got := Use{}, Use{}
			for other, uses := range held {
				for _, u := range uses {
					if other != entry {
						want = want.plus(u, 1)
					}
				}
			}
			listed := sum.Without(now, newer)
			for _, u := range listed {
				got = got.plus(u, 1)
			}
			if got != want || len(listed) > maxListed+1 {
				t.Fatalf("%d items with %v in all, want %v", len(listed), got, want)
			}
		}
		for _, uses := range held {
			sum.Replace(uses, nil)
		}
		if len(sum.total) > 0 {
			t.Fatalf("%d items left after the last report", len(sum.total))
		}
	})
}
