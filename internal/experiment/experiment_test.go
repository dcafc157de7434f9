package experiment

import (
	"context"
	"reflect"
	"testing"
)

func cellNamed(t *testing.T, name string) Cell {
	t.Helper()
	for _, c := range Cells() {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("no cell %q", name)
	return Cell{}
}

// small reduces a deployment to a third of the engines and to three entries, to
// keep the tests fast.
func small(d *Deployment) *Deployment {
	d.Engines /= 3
	d.Entries = 3
	return d
}

func rowsOf(t *testing.T, d *Deployment, c Cell, policies ...Policy) []Row {
	t.Helper()
	rows, err := Run(context.Background(), Options{Deployments: []*Deployment{d}, Cells: []Cell{c}, Policies: policies, Seeds: []uint64{101}, Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// TestQuietNight checks that low load causes no role changes and no loss of
// goodput when the mix shifts.
func TestQuietNight(t *testing.T) {
	c := cellNamed(t, "quiet-night")
	c.Duration = warmUp + 400
	for _, d := range []*Deployment{small(ReseatWorks()), small(TuiLane())} {
		r := run(d, &c, &Lagoonshift, generateArrivals(d, &c, 101), 101)
		if r.RoleChanges != 0 {
			t.Errorf("%s: got %d role changes, want 0", d.Name, r.RoleChanges)
		}
		if r.Goodput() < 0.99 {
			t.Errorf("%s: goodput %.3f, want at least 0.99", d.Name, r.Goodput())
		}
	}
}

// TestRunsRepeat checks that runs are deterministic, that no policy exceeds the
// bound and that every request is counted with exactly one outcome.
func TestRunsRepeat(t *testing.T) {
	c := cellNamed(t, "surge-1.5")
	c.Duration = warmUp + 15
	first := rowsOf(t, small(ReseatWorks()), c, Policies()...)
	again := rowsOf(t, small(ReseatWorks()), c, Lagoonshift)
	if a, b := first[0].Results[0], again[0].Results[0]; !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ: %+v and %+v", a, b)
	}
	for i := range first {
		a := first[i].Results[0]
		if a.FractionOfBound() > 1 {
			t.Errorf("%s: got %.3f of the bound, want at most 1", first[i].Policy.Name, a.FractionOfBound())
		}
		for k := range a.Offered {
			if a.Answered[k]+a.Late[k]+a.Refused[k] != a.Offered[k] {
				t.Errorf("%s: class %d: answered, late and refused requests do not add up to those offered: %+v", first[i].Policy.Name, k, a)
			}
		}
	}
}

// TestRefusalsAreImmediate checks that an overloaded fleet refuses requests and
// that each refusal comes at the virtual time of the arrival.
func TestRefusalsAreImmediate(t *testing.T) {
	c := cellNamed(t, "constant-3")
	c.Duration = warmUp + 20
	d := small(TuiLane())
	r := run(d, &c, &Lagoonshift, generateArrivals(d, &c, 101), 101)
	if percent(r.Refused, r.Offered) == 0 || r.RefusalTime > 0 {
		t.Errorf("refused %v of %v requests, the latest after %g s; want some, all after 0 s", r.Refused, r.Offered, r.RefusalTime)
	}
}

// TestBoundOfASimpleCase compares the bound with a case worked out by hand: an
// idle fleet serves everything, and half a fleet at twice its load about half.
func TestBoundOfASimpleCase(t *testing.T) {
	d := small(ReseatWorks())
	c := cellNamed(t, "quiet-night")
	c.Duration = warmUp + 100
	arrivals := generateArrivals(d, &c, 1)
	offered := 0.0
	for _, a := range arrivals {
		if a.at >= warmUp {
			offered += d.Classes[a.class].Worth
		}
	}
	if got := Bound(d, &c, arrivals); got < offered*0.9999 || got > offered*1.0001 {
		t.Errorf("bound of an idle fleet = %g, want the offered worth %g", got, offered)
	}
	c.OldSystemShare = 1
	if got := Bound(d, &c, arrivals); got > offered*0.0005 {
		t.Errorf("bound without engine time = %g, want about 0", got)
	}
}
