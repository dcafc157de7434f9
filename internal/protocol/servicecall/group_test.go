package servicecall

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// groupDrainTime is longer than any attempt in these runs takes.
const groupDrainTime = 2 * time.Minute

// groupLedger commits to a real Raft group of control replicas, through the first
// replica that answers.
type groupLedger struct {
	entry *entry
	group *fakegroup.Group
}

// Submit implements Ledger.
func (l *groupLedger) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	before, after := beforeReserve, afterReserve
	if command.Settle != nil {
		before, after = beforeSettle, afterSettle
	}
	if err := l.entry.stopIfDue(before); err != nil {
		return store.Result{}, err
	}
	result, err := l.submit(ctx, command)
	if err := l.entry.stopIfDue(after); err != nil {
		return store.Result{}, err
	}
	return result, err
}

func (l *groupLedger) submit(ctx context.Context, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	failed := errLost
	for i := range l.group.Size() {
		if !l.group.Running(i) {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		applied, err := l.group.Submit(limited, i, encoded)
		cancel()
		if err == nil {
			return store.DecodeResult(applied.Result)
		}
		failed = errors.Join(failed, err)
	}
	return store.Result{}, failed
}

// injectLeaderFaults repeatedly kills or freezes the leader, one replica at a
// time, until stop is closed.
func injectLeaderFaults(g *fakegroup.Group, r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+r.IntN(2000)) * time.Millisecond):
		}
		leader := g.CurrentLeader()
		if leader < 0 {
			continue
		}
		if r.IntN(2) == 0 {
			g.Kill(leader)
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			g.Restart(leader)
		} else {
			g.Freeze(leader)
			time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
			g.Thaw(leader)
		}
	}
}

// TestAtMostOnceAcrossLeaderFailover checks that a call runs at most once while
// the control group keeps losing its leader and one entry is killed or frozen at
// a random step.
func TestAtMostOnceAcrossLeaderFailover(t *testing.T) {
	for seed := range uint64(groupSeeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if err := bookOverGroup(t, seed); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func bookOverGroup(t *testing.T, seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 0))
	g := fakegroup.New(t, fakegroup.Options{Seed: seed})
	sim := newSimulation(seed)
	sim.service = func(r *rand.Rand) serviceFault { return serviceFault(max(0, r.IntN(9)-4)) }
	stopped := entryFault{at: allSteps[r.IntN(len(allSteps))], pause: time.Duration(r.IntN(2)) * 20 * time.Second}
	var entries []*entry
	for i, s := range []entryFault{stopped, {}, {}} {
		e := sim.newEntry(fmt.Sprintf("entry-%d", i), s)
		e.protocol.Ledger = &groupLedger{entry: e, group: g}
		entries = append(entries, e)
	}
	end := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		injectLeaderFaults(g, r, end)
		return nil
	})
	h := &history{}
	var callers errgroup.Group
	for client := range 4 {
		callers.Go(func() error {
			bookUntilAnswered(h, client, entries, fmt.Sprintf("van-%d", client%2))
			return nil
		})
	}
	_ = callers.Wait()
	close(end)
	_ = group.Wait()
	finishAfter(sim, groupDrainTime)
	return checkHistory(sim, h)
}

// seedsEnv is the environment variable that sets the number of seeds for runs
// outside CI.
const seedsEnv = "LAGOONSHIFT_GROUP_SEEDS"

// groupSeeds returns the number of seeds to run.
func groupSeeds() int {
	if n, err := strconv.Atoi(os.Getenv(seedsEnv)); err == nil {
		return n
	}
	return 3
}
