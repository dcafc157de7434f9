package route_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

var services = []route.Service{{Name: "a"}, {Name: "b"}}

func validRoute(prefix string) route.Route {
	return route.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: route.Safe, Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "a", Weight: 1}}}
}

func TestLongestPrefixWins(t *testing.T) {
	table, err := route.New(1, []route.Route{validRoute("/"), validRoute("/x/"), validRoute("/x/y/")}, services, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/": "/", "/x": "/", "/x/": "/x/", "/x/y": "/x/", "/x/y/z": "/x/y/", "/%78/y/": "/"} {
		if got := table.Match("H", path); got == nil || got.Prefix != want {
			t.Errorf("path %s: got route %v, want %s", path, got, want)
		}
	}
	if table.Match("other", "/") != nil {
		t.Error("got a route for a host without routes, want nil")
	}
}

func TestInvalidTablesAreRejected(t *testing.T) {
	edit := func(change func(*route.Route)) []route.Route {
		r := validRoute("/x/")
		change(&r)
		return []route.Route{validRoute("/"), r}
	}
	for name, routes := range map[string][]route.Route{
		"no closing slash":   edit(func(r *route.Route) { r.Prefix = "/x" }),
		"no timeout":         edit(func(r *route.Route) { r.Timeout = 0 }),
		"unknown kind":       edit(func(r *route.Route) { r.Kind = 0 }),
		"unknown service":    edit(func(r *route.Route) { r.Shares[0].Service = "c" }),
		"no weight":          edit(func(r *route.Route) { r.Shares[0].Weight = 0 }),
		"no service":         edit(func(r *route.Route) { r.Shares = nil }),
		"same host and path": edit(func(r *route.Route) { r.Prefix = "/"; r.Host = "H" }),
	} {
		if _, err := route.New(1, routes, services, route.Limits{}); !errors.Is(err, route.ErrInvalid) {
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
		}
	}
}

func TestSharesFollowWeights(t *testing.T) {
	r := validRoute("/")
	r.Shares = []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}
	for pick, want := range map[float64]string{0: "a", 0.89: "a", 0.901: "b", 0.9999: "b"} {
		if got := r.Service(pick); got != want {
			t.Errorf("pick %v: got service %s, want %s", pick, got, want)
		}
	}
}

// TestServiceForFollowsTheWeights guards against shares of requests that don't follow the
// weights of their services.
func TestServiceForFollowsTheWeights(t *testing.T) {
	const requests, heavy = 10_000, 90
	r := &route.Route{Shares: []route.Share{{Service: "heavy", Weight: heavy}, {Service: "light", Weight: 100 - heavy}}}
	count := 0
	for i := range requests {
		if r.ServiceFor(fmt.Sprintf("%016x", i)) == "heavy" {
			count++
		}
	}
	if share := float64(count) / requests; math.Abs(share-heavy/100.0) > 0.02 {
		t.Errorf("%.3f of the requests go to a service with a share of %.2f", share, heavy/100.0)
	}
}

// TestTightPauses guards against deployments whose placement changes although none of their
// streams is held to short pauses, and against such streams that are overlooked.
func TestTightPauses(t *testing.T) {
	for name, c := range map[string]struct {
		kind route.Kind
		gap  time.Duration
		want bool
	}{
		"short pauses":  {route.Streaming, 150 * time.Millisecond, true},
		"longer pauses": {route.Streaming, 200 * time.Millisecond, false},
		"no limit":      {route.Streaming, 0, false},
		"no stream":     {route.Safe, 100 * time.Millisecond, false},
	} {
		r := validRoute("/x/")
		r.Kind, r.EventGap = c.kind, c.gap
		table, err := route.New(1, []route.Route{validRoute("/"), r}, services, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		if got := table.TightPauses(); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
}
