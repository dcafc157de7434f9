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

// small returns a deployment with a third of the engines and fewer entries, so
// that tests are quick.
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

// TestQuietNight checks that no role changes in a night of little work.
func TestQuietNight(t *testing.T) {
	c := cellNamed(t, "quiet-night")
	c.Duration = warmUp + 400
	for _, d := range []*Deployment{small(ReseatWorks()), small(TuiLane())} {
		r := run(d, &c, &Lagoonshift, generateArrivals(d, &c, 101), 101)
		if r.RoleChanges != 0 {
			t.Errorf("%s: %d role changes", d.Name, r.RoleChanges)
		}
		if r.Goodput() < 0.99 {
			t.Errorf("%s: goodput %.3f", d.Name, r.Goodput())
		}
	}
}

// TestRunsRepeat checks that equal seeds give equal results, that no policy
// beats the bound and that every request has one end.
func TestRunsRepeat(t *testing.T) {
	c := cellNamed(t, "surge-1.5")
	c.Duration = warmUp + 15
	first := rowsOf(t, small(ReseatWorks()), c, Policies()...)
	again := rowsOf(t, small(ReseatWorks()), c, Lagoonshift)
	if a, b := first[0].Results[0], again[0].Results[0]; !reflect.DeepEqual(a, b) {
		t.Errorf("results differ: %+v and %+v", a, b)
	}
	for i := range first {
		a := first[i].Results[0]
		if a.FractionOfBound() > 1 {
			t.Errorf("%s: %.3f of the bound", first[i].Policy.Name, a.FractionOfBound())
		}
		for k := range a.Offered {
			if a.Answered[k]+a.Late[k]+a.Refused[k] != a.Offered[k] {
				t.Errorf("%s: class %d: %+v does not add up", first[i].Policy.Name, k, a)
			}
		}
	}
}

// TestRefusalsAreImmediate checks that no refusal comes after virtual time has
// passed since the request.
func TestRefusalsAreImmediate(t *testing.T) {
	c := cellNamed(t, "constant-3")
	c.Duration = warmUp + 20
	d := small(TuiLane())
	r := run(d, &c, &Lagoonshift, generateArrivals(d, &c, 101), 101)
	if percent(r.Refused, r.Offered) == 0 || r.RefusalTime > 0 {
		t.Errorf("refused %v of %v, the latest after %g s", r.Refused, r.Offered, r.RefusalTime)
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
		t.Errorf("bound %g, want all of %g", got, offered)
	}
	c.OldSystemShare = 1
	if got := Bound(d, &c, arrivals); got > offered*0.0005 {
		t.Errorf("bound %g without engine time, want 0", got)
	}
}
