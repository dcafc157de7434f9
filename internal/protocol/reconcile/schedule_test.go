package reconcile_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// defaultSchedules is the number of random schedules unless -rapid.checks is given.
const defaultSchedules = "25"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", defaultSchedules); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is one fault or settings change in a schedule.
type event struct {
	delay time.Duration
	kind  string
	pick  int
}

// schedule is the sequence of events of one run.
type schedule struct {
	seed   uint64
	events []event
}

var eventKinds = []string{"elect", "cut", "heal", "kill", "crash", "pin", "pin", "pin", "weights", "hand over"}

// denseSchedule returns a long schedule with many leader and role changes.
func denseSchedule(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	s := schedule{seed: seed}
	for range 80 {
		s.events = append(s.events, event{
			delay: time.Duration(random.IntN(3000)) * time.Millisecond,
			kind:  []string{"elect", "pin", "pin", "pin", "pin", "pin", "pin", "pin"}[random.IntN(8)],
			pick:  random.IntN(12),
		})
	}
	return s
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{seed: rapid.Uint64().Draw(t, "seed")}
	for i := range rapid.IntRange(10, 40).Draw(t, "events") {
		s.events = append(s.events, event{
			delay: time.Duration(rapid.IntRange(0, 5000).Draw(t, fmt.Sprint("after ", i))) * time.Millisecond,
			kind:  rapid.SampledFrom(eventKinds).Draw(t, fmt.Sprint("kind ", i)),
			pick:  rapid.IntRange(0, 11).Draw(t, fmt.Sprint("pick ", i)),
		})
	}
	return s
}

// run executes a schedule, then switches faults off and heals the control group.
// It returns the violated invariants and what did not converge to the settings.
func run(t *testing.T, s schedule, bugs injectedBugs, newGroup func(t testing.TB, sim *simulation) controlGroup) (violations, unfinished []string) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, s.seed, bugs, ops, newGroup)
		sim.apply()
		for _, p := range sim.processes {
			p.start(ctx)
		}
		go sim.runEntries(ctx)
		go sim.runOldSystem(ctx)
		go sim.watchRoles(ctx, !s.has("crash") && !s.has("hand over"))
		for _, e := range s.events {
			time.Sleep(e.delay)
			sim.applyEvent(ctx, e)
		}
		sim.faultsOff.Store(true)
		for i := range replicas {
			sim.group.heal(i)
		}
		sim.group.elect(0)
		unfinished = sim.waitFinished()
		violations = sim.checkInvariants()
		cancel()
		time.Sleep(time.Minute) // virtual time, so that every goroutine ends
	})
	// The checker's time-out uses real time, so it runs outside the synctest
	// bubble.
	return append(violations, ops.check()...), unfinished
}

// waitFinished waits up to five minutes until everything matches the settings. It
// returns what still differs.
func (sim *simulation) waitFinished() (left []string) {
	for range 5 * 60 {
		time.Sleep(time.Second)
		if left = sim.unfinished(); len(left) == 0 {
			break
		}
	}
	return left
}

func (s schedule) has(kind string) bool {
	for _, e := range s.events {
		if e.kind == kind {
			return true
		}
	}
	return false
}

func (sim *simulation) applyEvent(ctx context.Context, e event) {
	p := sim.processes[e.pick%replicas]
	name := fmt.Sprintf("%s-%d", []string{"checks", "loose"}[e.pick%2], 2+e.pick/2%2)
	switch e.kind {
	case "elect":
		sim.group.elect(p.number)
	case "cut":
		sim.group.isolate(p.number)
	case "heal":
		sim.group.heal(p.number)
	case "kill":
		p.restart(ctx)
	case "crash":
		sim.engines[baseURL+name].Crash()
	case "pin":
		sim.changeEngine(name, func(s *settings.Engine) {
			s.Role = []settings.Role{settings.RolePrefill, settings.RoleDecode, settings.RoleMixed}[e.pick/4]
		})
	case "weights":
		sim.weightVersion++
		sim.apply()
	case "hand over":
		sim.changeEngine(name, func(s *settings.Engine) {
			s.Authority = map[settings.OrderAuthority]settings.OrderAuthority{
				settings.AuthorityLagoonshift: settings.AuthorityOldSystem,
				settings.AuthorityOldSystem:   settings.AuthorityLagoonshift,
			}[s.Authority]
		})
	}
}

func (sim *simulation) changeEngine(engine string, change func(*settings.Engine)) {
	sim.mu.Lock()
	s := sim.engineSettings[engine]
	change(&s)
	sim.engineSettings[engine] = s
	sim.mu.Unlock()
	sim.apply()
}

// TestOrdersUnderRandomSchedules runs random schedules on a scripted control group.
func TestOrdersUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		violations, unfinished := run(t, drawSchedule(rt), injectedBugs{}, withScriptedGroup)
		if len(violations)+len(unfinished) > 0 {
			rt.Fatalf("violations %q, unfinished %q", violations, unfinished)
		}
	})
}

// TestOrdersUnderConsensus runs random schedules on a real Raft group with frozen
// leaders, killed replicas and partitions.
func TestOrdersUnderConsensus(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		violations, unfinished := run(t, s, injectedBugs{}, func(t testing.TB, _ *simulation) controlGroup { return newRaftGroup(t, s.seed) })
		if len(violations)+len(unfinished) > 0 {
			rt.Fatalf("violations %q, unfinished %q", violations, unfinished)
		}
	})
}

// maxBugSchedules is the number of schedules within which an injected bug must be
// found. Goroutines that are runnable at the same instant run in any order, so the
// schedule that reveals a bug differs from run to run; one in nine does.
const maxBugSchedules = 240

// TestCheckerDetectsInjectedBugs checks that each deliberate bug leads to the
// violations in want.
func TestCheckerDetectsInjectedBugs(t *testing.T) {
	tests := []struct {
		name string
		bugs injectedBugs
		want string
	}{
		{"frozen senders write after their authority ended", injectedBugs{unguardedSends: true}, "took effect after"},
		{"no wait for late copies", injectedBugs{noDeliveryWait: true}, "took effect after, porcupine"},
		{"engines not closed to new work first", injectedBugs{noClosePhase: true}, "cut"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			missing := strings.Split(test.want, ", ")
			for seed := range maxBugSchedules {
				violations, _ := run(t, denseSchedule(uint64(seed)), test.bugs, withScriptedGroup)
				for _, v := range violations {
					missing = slices.DeleteFunc(missing, func(want string) bool { return strings.Contains(v, want) })
				}
				if len(missing) == 0 {
					t.Logf("found by schedule %d", seed)
					return
				}
			}
			t.Fatalf("violations %q not found in %d schedules", missing, maxBugSchedules)
		})
	}
}
