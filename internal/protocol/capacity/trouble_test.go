package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// trouble is a minute of random demand, reclaims, failed and slow orders and changes of the
// holder, after which the demand is steady.
type trouble struct {
	random *rand.Rand
	began  time.Time
	cloud  *cloud
	// levels are the demand in each 3 s, and last that after the minute.
	levels []float64
	last   float64
	// failUntil is until when orders fail. It is guarded by the cloud's lock.
	failUntil time.Duration
}

const troubleLength = time.Minute

func newTrouble(seed uint64) *trouble {
	x := &trouble{random: rand.New(rand.NewPCG(seed, 5)), began: time.Now()}
	x.cloud = newCloud(20 + x.random.IntN(60))
	level := func() float64 { return 0.3 + x.random.Float64() }
	for range troubleLength/(3*time.Second) + 1 {
		x.levels = append(x.levels, level())
	}
	x.last, x.cloud.fail = level(), x.fail
	return x
}

func (x *trouble) demand(at time.Duration) *fleet.DemandRate {
	switch {
	case at < 8*time.Second:
		return nil
	case at > troubleLength:
		return steady(x.last)
	}
	return steady(x.levels[at/(3*time.Second)])
}

// fail loses two of three orders until failUntil; half of these take effect later. The caller
// holds the cloud's lock.
func (x *trouble) fail(_ int, o capacity.Order) (handled bool, err error) {
	if at := time.Since(x.began); at > troubleLength || at > x.failUntil {
		return false, nil
	}
	switch x.random.IntN(3) {
	case 0:
		return false, nil
	case 1:
		time.AfterFunc(2*time.Second+time.Duration(x.random.IntN(10000))*time.Millisecond, func() {
			x.cloud.mu.Lock()
			defer x.cloud.mu.Unlock()
			_ = x.cloud.apply(o) // it was answered long ago
		})
	}
	return true, errLost
}

// events returns what happens, by time.
func (x *trouble) events(first, second *replica) map[time.Duration]func() {
	const step = 50 * time.Millisecond
	out := make(map[time.Duration]func())
	for range 12 {
		at, zone := time.Duration(x.random.IntN(int(troubleLength/step)))*step, zoneNames[x.random.IntN(len(zoneNames))]
		closed, everywhere := time.Duration(8000+x.random.IntN(3000))*time.Millisecond, x.random.IntN(2) == 0
		switch delay := time.Duration(x.random.IntN(3000)) * time.Millisecond; x.random.IntN(5) {
		case 0, 1:
			out[at] = func() { x.cloud.reclaim(zone, closed, everywhere) }
		case 2:
			out[at] = func() {
				x.cloud.mu.Lock()
				defer x.cloud.mu.Unlock()
				x.failUntil = at + 5*time.Second
			}
		case 3:
			out[at] = func() {
				x.cloud.mu.Lock()
				defer x.cloud.mu.Unlock()
				x.cloud.delay = delay
			}
		case 4:
			out[at] = func() {
				first.term.Store(0)
				second.term.Store(2)
			}
		}
	}
	return out
}

// TestTroubleEnds guards against a driver that doesn't get back to the number of servers that a
// steady demand needs, or that goes on ordering, after a minute of trouble: for example because
// it takes a refusal for one because of a higher token when there were no reclaimable servers.
func TestTroubleEnds(t *testing.T) {
	const seeds, length, quiet = 30, 150 * time.Second, 30 * time.Second
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTrouble(seed)
				now := func() *fleet.DemandRate { return x.demand(time.Since(x.began)) }
				first, second := newReplica(x.cloud, 1, now), newReplica(x.cloud, 0, now)
				moments, _ := run(t, x.cloud, length, x.demand, x.events(first, second), first, second)
				last, late, fenced := moments[len(moments)-1], 0, 0
				for _, c := range x.cloud.calls {
					if c.fenced {
						fenced++
					}
					if c.at.Sub(x.began) > length-quiet {
						late++
					}
				}
				// 0.6 of the servers are planned to be occupied, and at least 0.4 once the surplus
				// is given back.
				if use := last.need / float64(max(1, last.serving.Total())); use > 0.62 || use < 0.4 || late > 0 {
					t.Errorf("%.2f of the servers are occupied at the end, %v serve; %d orders in the last %v, want none", use, last.serving, late, quiet)
				}
				if n := int(first.refused.Load() + second.refused.Load()); n > fenced {
					t.Errorf("%d refusals were taken for ones because of a higher token, %d were", n, fenced)
				}
				checkFenced(t, x.cloud)
			})
		})
	}
}
