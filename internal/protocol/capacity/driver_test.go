package capacity_test

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

var errBusy = errors.New("got status 429, want 200")

// faultAt is when the faults below begin, 6 s after the demand has fallen by a fifth.
const faultAt = 40 * time.Second

// falling is a demand that falls shortly before faultAt.
func falling(at time.Duration) float64 {
	if at > faultAt-6*time.Second {
		return 0.8
	}
	return 1
}

// during returns a fault of all calls within a time after faultAt.
func during(length time.Duration, err error) func(*cloud, time.Time) {
	return func(c *cloud, began time.Time) {
		c.fail = func(int, capacity.Order) (bool, error) {
			since := time.Since(began) - faultAt
			return since >= 0 && since < length, err
		}
	}
}

// checkFenced checks that at most three calls of a holder on a matter are made more than a
// lease after one was refused because of a higher token.
func checkFenced(t *testing.T, c *cloud) {
	t.Helper()
	const lease = 3 * time.Second
	type holding struct {
		matter string
		token  uint64
	}
	refusedAt, later := make(map[holding]time.Time), make(map[holding]int)
	for _, call := range c.calls {
		h := holding{call.Matter(), call.token}
		if at, refused := refusedAt[h]; refused && call.at.Sub(at) > lease {
			if later[h]++; later[h] == 4 {
				t.Errorf("more than 3 calls with token %d on %s after one was refused because of a higher token", h.token, h.matter)
			}
		} else if call.fenced && !refused {
			refusedAt[h] = call.at
		}
	}
}

// TestDriverInTrouble guards against drivers that send more calls than the platform takes,
// send calls of one matter at once, go on after a higher token, or leave too few servers when
// calls fail or the holder changes.
func TestDriverInTrouble(t *testing.T) {
	const length = 75 * time.Second
	type world struct {
		*cloud
		first, second *replica
	}
	for name, c := range map[string]struct {
		prepare func(*cloud, time.Time)
		event   func(world)
	}{
		"status 429": {prepare: during(10*time.Second, errBusy)},
		"down":       {prepare: during(20*time.Second, errLost)},
		"slow":       {prepare: func(c *cloud, _ time.Time) { c.delay = 3 * time.Second }},
		"an old order takes effect": {event: func(w world) {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = w.apply(capacity.Order{Service: serviceName, Zone: "z1", Kind: capacity.Reclaimable})
		}},
		"a higher token": {event: func(w world) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, zone := range zoneNames {
				w.tokens[capacity.Order{Service: serviceName, Zone: zone}.Matter()] = 9
			}
		}},
		"the holder changes": {event: func(w world) {
			w.first.term.Store(0)
			w.second.term.Store(2)
		}},
		"the holder is killed between plan and call": {prepare: during(300*time.Millisecond, errLost), event: func(w world) {
			time.AfterFunc(200*time.Millisecond, func() {
				w.first.term.Store(0)
				w.second.term.Store(2)
			})
		}},
		"a thawed holder continues next to its successor": {event: func(w world) { w.second.term.Store(2) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, cloud, demand := time.Now(), newCloud(60), after(falling)
				if c.prepare != nil {
					c.prepare(cloud, began)
				}
				now := func() *fleet.DemandRate { return demand(time.Since(began)) }
				w := world{cloud, newReplica(cloud, 1, now), newReplica(cloud, 0, now)}
				events := map[time.Duration]func(){faultAt: func() {
					if c.event != nil {
						c.event(w)
					}
				}}
				moments, _ := run(t, cloud, length, demand, events, w.first, w.second)
				for _, m := range moments {
					// After the loss of a zone 0.85 of the servers may be occupied.
					if use := m.need / float64(max(1, m.serving.Total())); use > 0.85 {
						t.Errorf("%.2f of the servers are occupied at %v", use, m.at)
						break
					}
				}
				last := moments[len(moments)-1]
				if use := last.need / float64(last.serving.Total()); use > 0.6 {
					t.Errorf("%.2f of the servers are occupied at the end", use)
				}
				for i := range cloud.calls {
					if j := i + 50; j < len(cloud.calls) && cloud.calls[j].at.Sub(cloud.calls[i].at) < time.Second {
						t.Errorf("more than 50 calls within a second from %v on", cloud.calls[i].at.Sub(began))
						break
					}
				}
				t.Logf("%d calls, at the end %v", len(cloud.calls), last.serving)
				checkFenced(t, cloud)
			})
		})
	}
}

// TestNewHolderKeepsServers guards against a holder that has only the demand of the moment
// and gives servers back at once: the demand may return to its recent peak.
func TestNewHolderKeepsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, cloud := time.Now(), newCloud(60)
		demand := after(func(at time.Duration) float64 {
			if at > faultAt-2*time.Second && at < faultAt+10*time.Second {
				return 0.6
			}
			return 1
		})
		now := func() *fleet.DemandRate { return demand(time.Since(began)) }
		first, second := newReplica(cloud, 1, now), newReplica(cloud, 0, now)
		moments, _ := run(t, cloud, faultAt+20*time.Second, demand, map[time.Duration]func(){
			faultAt: func() {
				first.term.Store(0)
				second.term.Store(2)
			},
		}, first, second)
		before, least := 0, 1000
		for _, m := range moments {
			switch {
			case m.at < faultAt:
				before = m.serving.Total()
			case m.at < faultAt+10*time.Second:
				least = min(least, m.serving.Total())
			}
		}
		if least < before-before/10 {
			t.Errorf("%d servers serve after a change of holder, %d before, want them kept for 10 s", least, before)
		}
	})
}

// TestListWithin guards against servers whose coming and leaving is seen late, and against
// lists that are read often without need.
func TestListWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lasting := []fleet.Engine{{ID: "a", Service: serviceName, Zone: "z1"}}
		reclaimable := append([]fleet.Engine{{ID: "b", Service: serviceName, Zone: "z2", Reclaimable: true}}, lasting...)
		leaving := append([]fleet.Engine{{ID: "c", Service: serviceName, Zone: "z2", Leaving: true}}, lasting...)
		// One server is wanted, in the only zone that has prices, so that nothing is ordered.
		service := planned[0]
		service.Scaling = route.Scaling{Max: 1, ZonePrices: map[string]float64{"z1": 1}}
		for name, c := range map[string]struct {
			term     uint64
			engines  []fleet.Engine
			changing []string
			want     time.Duration
		}{
			"holder, nothing to come":         {1, lasting, nil, math.MaxInt64},
			"holder, an engine changes":       {1, lasting, []string{"a"}, 250 * time.Millisecond},
			"holder, a server leaves":         {1, leaving, nil, 250 * time.Millisecond},
			"holder, reclaimable servers":     {1, reclaimable, nil, 500 * time.Millisecond},
			"other, reclaimable servers":      {0, reclaimable, nil, math.MaxInt64},
			"other, lasting servers":          {0, lasting, nil, math.MaxInt64},
			"other, servers leave and change": {0, leaving, []string{"a"}, math.MaxInt64},
		} {
			r := newReplica(newCloud(0), c.term, func() *fleet.DemandRate { return nil })
			r.Observe([]capacity.Service{service}, fleet.NewView(c.engines), c.changing)
			var group sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			group.Go(func() { _ = r.Run(ctx) })
			synctest.Wait()
			if got := r.ListWithin(); got != c.want {
				t.Errorf("%s: a newer list is wanted within %v, want %v", name, got, c.want)
			}
			cancel()
			group.Wait()
		}
	})
}

// TestHolderChangesDuringHandOver guards against a new holder that orders servers twice, or
// gives back lasting ones before others serve, while it doesn't know what was ordered.
func TestHolderChangesDuringHandOver(t *testing.T) {
	for at := time.Second; at < trafficFrom; at += time.Second {
		synctest.Test(t, func(t *testing.T) {
			began, cloud, demand := time.Now(), newCloud(60), after(falling)
			now := func() *fleet.DemandRate { return demand(time.Since(began)) }
			first, second := newReplica(cloud, 1, now), newReplica(cloud, 0, now)
			moments, _ := run(t, cloud, trafficFrom, demand, map[time.Duration]func(){
				at:               func() { first.term.Store(0) },
				at + time.Second: func() { second.term.Store(2) },
			}, first, second)
			for _, m := range moments {
				if n := m.serving.Total(); n < 60 || n > 125 {
					t.Errorf("holder changes at %v: %d servers at %v, want 60 to 125", at, n, m.at)
					break
				}
			}
			if n := moments[len(moments)-1].serving[capacity.Lasting]; at < trafficFrom/2 && n > 10 {
				t.Errorf("holder changes at %v: %d lasting servers before there is traffic", at, n)
			}
		})
	}
}
