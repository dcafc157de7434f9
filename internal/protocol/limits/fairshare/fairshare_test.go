package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTargets guards against targets that leave capacity unused, exceed a demand, give a
// workspace less than its part of a proportional share, or give one more than another that
// asks for more.
func TestTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]Demand, rapid.IntRange(1, 30).Draw(t, "workspaces"))
		sum := 0.0
		for i := range demands {
			demands[i] = Demand{Asked: rapid.Float64Range(0, 1e6).Draw(t, "asked"), Members: float64(rapid.IntRange(0, 5).Draw(t, "members"))}
			sum += demands[i].Asked
		}
		capacity := rapid.Float64Range(0, 2e6).Draw(t, "capacity")
		targets, total := Targets(demands, capacity), 0.0
		tolerance := 1e-6 * (1 + sum)
		for i, target := range targets {
			total += target
			if target > demands[i].Asked+tolerance {
				t.Fatalf("demand %v: target %v", demands[i].Asked, target)
			}
			if least := proportionalPart * min(1, capacity/max(sum, 1e-9)) * demands[i].Asked; target < least-tolerance {
				t.Fatalf("demand %v of %v, capacity %v: target %v, want at least %v", demands[i].Asked, sum, capacity, target, least)
			}
			for j, other := range targets {
				if demands[i].members() == demands[j].members() && demands[i].Asked < demands[j].Asked && target > other+tolerance {
					t.Fatalf("demand %v gets %v, demand %v gets %v", demands[i].Asked, target, demands[j].Asked, other)
				}
			}
		}
		if want := min(sum, capacity); math.Abs(total-want) > tolerance {
			t.Fatalf("targets add up to %v, want %v", total, want)
		}
	})
}

// TestSmallDemandIsMetBesideLargeOne guards against targets that are proportional only.
func TestSmallDemandIsMetBesideLargeOne(t *testing.T) {
	targets := Targets([]Demand{{Asked: 1000}, {Asked: 20}, {Asked: 20}}, 520)
	if targets[1] < 19.99 || targets[2] < 19.99 || math.Abs(targets[0]-480) > 0.01 {
		t.Errorf("got targets %v, want 480, 20 and 20", targets)
	}
}

// TestRepeatsDontRaiseDemand guards against a workspace that gets more by repeating
// refused requests.
func TestRepeatsDontRaiseDemand(t *testing.T) {
	uses, now := NewUses(), time.Now()
	uses.Ask(now, "llm", "a", "key", false, 1000)
	for range 50 {
		uses.Refuse(now, "llm", "a", "key")
		now = now.Add(time.Millisecond)
		uses.Ask(now, "llm", "a", "key", false, 1000)
		uses.Ask(now, "llm", "a", "", true, 1000)
	}
	uses.Shares(now, "llm")
	if got := uses.Report(now); len(got) != 1 || got[0].Asked > 1000/forgetTime.Seconds() {
		t.Errorf("got %+v, want the demand of one request", got)
	}
	uses.Ask(now.Add(time.Millisecond), "llm", "b", "key", false, 1000)
	uses.Ask(now.Add(time.Millisecond), "llm", "a", "other", false, 1000)
	if got := uses.Report(now.Add(time.Millisecond)); len(got) != 2 || got[0].Asked < 1.9*got[1].Asked {
		t.Errorf("got %+v, want two requests of a and one of b", got)
	}
}

// TestRecordIsBoundedAndForgets guards against a record that grows with the number of
// workspaces, or holds a workspace to what it did long ago.
func TestRecordIsBoundedAndForgets(t *testing.T) {
	uses, now := NewUses(), time.Now()
	for i := range 3 * maxWorkspaces {
		name := fmt.Sprint(i)
		uses.Ask(now, "llm", name, name, false, 1000)
		uses.Refuse(now, "llm", name, name)
	}
	for i := range 2 * maxRefused {
		uses.Refuse(now, "llm", "a", fmt.Sprint(i))
	}
	r := uses.services["llm"]
	if len(r.own) > maxWorkspaces+1 || len(r.refused) > maxRefused {
		t.Errorf("%d workspaces and %d refused requests are recorded", len(r.own), len(r.refused))
	}
	uses.Shares(now, "llm")
	report := uses.Report(now)
	sum := 0.0
	for _, u := range report {
		sum += u.Asked
	}
	if want := 3 * maxWorkspaces * 1000 / forgetTime.Seconds(); len(report) != maxListed+1 || math.Abs(sum/want-1) > 1e-6 {
		t.Errorf("reported %d items with a demand of %v, want %d with %v", len(report), sum, maxListed+1, want)
	}
	now = now.Add(time.Minute)
	uses.Shares(now, "llm")
	if got := uses.Report(now); len(got) != 0 || len(r.own) > 1 {
		t.Errorf("got %+v and %d workspaces after a minute, want none", got, len(r.own))
	}
}

// TestReportOnlyWhileSaturated guards against messages that grow while there is room.
func TestReportOnlyWhileSaturated(t *testing.T) {
	uses, now := NewUses(), time.Now()
	uses.Ask(now, "llm", "a", "", false, 1000)
	if got := uses.Report(now); len(got) != 0 {
		t.Errorf("got %+v before saturation", got)
	}
	uses.Shares(now, "llm")
	if got := uses.Report(now); len(got) != 1 {
		t.Errorf("got %+v while saturated, want one item", got)
	}
	if got := uses.Report(now.Add(2 * saturatedTime)); len(got) != 0 {
		t.Errorf("got %+v after saturation", got)
	}
}

// TestOthersCount guards against an entry that counts only its own requests of a workspace, and
// against figures of other entries that stay after they are gone.
func TestOthersCount(t *testing.T) {
	uses, now := NewUses(), time.Now()
	for _, name := range []string{"a", "b"} {
		uses.Ask(now, "llm", name, "", false, 4000)
		uses.Grant(now, "llm", name, 2000)
	}
	uses.SetOthers([]Use{{Service: "llm", Workspace: "a", Asked: 9000, Granted: 5000}, {Service: "llm", Asked: 100, Granted: 50}})
	s := uses.Shares(now, "llm")
	if a, b := s.Ratio("a", 0), s.Ratio("b", 0); a <= b {
		t.Errorf("a was granted %v of its target and b %v, want more for a", a, b)
	}
	if s.Wait("a") <= 0 || s.Wait("b") != 0 {
		t.Errorf("got waits %v and %v, want one for a only", s.Wait("a"), s.Wait("b"))
	}
	uses.SetOthers(nil)
	now = now.Add(time.Second)
	s = uses.Shares(now, "llm")
	if a, b := s.Ratio("a", 0), s.Ratio("b", 0); math.Abs(a-b) > 1e-9 {
		t.Errorf("got %v and %v without the others, want the same", a, b)
	}
}

// TestSumWithout guards against a sum that drifts as entries replace their uses, or that
// counts an entry's own.
func TestSumWithout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum, now := NewSum(), time.Now()
		held := make([][]Use, 4)
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			i := rapid.IntRange(0, len(held)-1).Draw(t, "entry")
			var next []Use
			for j := range rapid.IntRange(0, 100).Draw(t, "workspaces") {
				next = append(next, Use{Service: "llm", Workspace: fmt.Sprint(j), Asked: float64(rapid.IntRange(1, 1000).Draw(t, "asked")), Granted: 1})
			}
			next = highest(next)
			sum.Replace(held[i], next)
			held[i] = next
		}
		for i := range held {
			want, names := 0.0, make(map[string]float64)
			for j, uses := range held {
				for _, u := range uses {
					if j != i {
						want += u.Asked
						names[u.Workspace] += u.Asked
					}
				}
			}
			got := 0.0
			uses := sum.Without(now, held[i])
			for _, u := range uses {
				got += u.Asked
				if u.Workspace != "" && math.Abs(u.Asked-names[u.Workspace]) > 1e-6 {
					t.Fatalf("workspace %q: got %v, want %v", u.Workspace, u.Asked, names[u.Workspace])
				}
			}
			if math.Abs(got-want) > 1e-6*(1+want) || len(uses) > maxListed+1 {
				t.Fatalf("%d items with a demand of %v, want %v", len(uses), got, want)
			}
		}
		for i := range held {
			sum.Replace(held[i], nil)
		}
		if len(sum.total) > 0 {
			t.Fatalf("%d items stay without entries", len(sum.total))
		}
	})
}

// BenchmarkSum measures a report and an update of a control replica with 10,000 workspaces
// and 300 entries.
func BenchmarkSum(b *testing.B) {
	sum, now := NewSum(), time.Now()
	held := make([][]Use, 300)
	for i := range held {
		for j := range maxListed {
			held[i] = append(held[i], Use{Service: "llm", Workspace: fmt.Sprint((i*maxListed + j) % 10000), Asked: float64(j + 1), Granted: 1})
		}
		sum.Replace(nil, held[i])
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		w := held[n%len(held)]
		sum.Replace(w, w)
		sum.Without(now, w)
		now = now.Add(time.Second / 1500) // 300 entries, each in 200 ms
		n++
	}
}
