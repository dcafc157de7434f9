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

// defaultSchedules is the number of random schedules unless -rapid.checks says
// otherwise.
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

// event is one fault or change of a schedule.
type event struct {
	after time.Duration
	kind  string
	pick  int
}

// schedule is what happens in one run.
type schedule struct {
	seed   uint64
	events []event
}

var kinds = []string{"elect", "cut", "heal", "kill", "crash", "pin", "pin", "pin", "weights", "hand over"}

// denseSchedule returns a long schedule with many changes of leader and role.
func denseSchedule(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	s := schedule{seed: seed}
	for range 80 {
		s.events = append(s.events, event{
			after: time.Duration(random.IntN(3000)) * time.Millisecond,
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
			after: time.Duration(rapid.IntRange(0, 5000).Draw(t, fmt.Sprint("after ", i))) * time.Millisecond,
			kind:  rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind ", i)),
			pick:  rapid.IntRange(0, 11).Draw(t, fmt.Sprint("pick ", i)),
		})
	}
	return s
}

// run plays a schedule, then lets everything heal. It returns what went
// against the rules and what was not finished in the end.
func run(t *testing.T, s schedule, f faults, under func(t testing.TB, w *world) controls) (violations, unfinished []string) {
	ops := &history{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, s.seed, f, ops, under)
		w.apply()
		for _, p := range w.control {
			p.start(ctx)
		}
		go w.serve(ctx)
		go w.playOldSystem(ctx)
		go w.watch(ctx, !s.has("crash") && !s.has("hand over"))
		for _, e := range s.events {
			time.Sleep(e.after)
			w.play(ctx, e)
		}
		w.calm.Store(true)
		for i := range replicas {
			w.group.heal(i)
		}
		w.group.elect(0)
		unfinished = w.waitFinished()
		violations = w.judge()
		cancel()
		time.Sleep(time.Minute) // virtual time for every goroutine to end
	})
	// porcupine keeps time itself and so runs outside the virtual time.
	return append(violations, ops.check()...), unfinished
}

// waitFinished waits until all is as the settings want it. It returns what is
// not after five minutes.
func (w *world) waitFinished() (left []string) {
	for range 5 * 60 {
		time.Sleep(time.Second)
		if left = w.unfinished(); len(left) == 0 {
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

func (w *world) play(ctx context.Context, e event) {
	p := w.control[e.pick%replicas]
	name := fmt.Sprintf("%s-%d", []string{"checks", "loose"}[e.pick%2], 2+e.pick/2%2)
	switch e.kind {
	case "elect":
		w.group.elect(p.number)
	case "cut":
		w.group.cut(p.number)
	case "heal":
		w.group.heal(p.number)
	case "kill":
		p.restart(ctx)
	case "crash":
		w.engines[base+name].Crash()
	case "pin":
		w.setPin(name, func(s *settings.Engine) {
			s.Role = []settings.Role{settings.RolePrefill, settings.RoleDecode, settings.RoleMixed}[e.pick/4]
		})
	case "weights":
		w.weight++
		w.apply()
	case "hand over":
		w.setPin(name, func(s *settings.Engine) {
			s.Authority = map[settings.OrderAuthority]settings.OrderAuthority{
				settings.AuthorityLagoonshift: settings.AuthorityOldSystem,
				settings.AuthorityOldSystem:   settings.AuthorityLagoonshift,
			}[s.Authority]
		})
	}
}

func (w *world) setPin(engine string, change func(*settings.Engine)) {
	w.mu.Lock()
	s := w.pins[engine]
	change(&s)
	w.pins[engine] = s
	w.mu.Unlock()
	w.apply()
}

func TestOrdersUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		violations, unfinished := run(t, drawSchedule(rt), faults{}, underScript)
		if len(violations)+len(unfinished) > 0 {
			rt.Fatalf("violations %q, unfinished %q", violations, unfinished)
		}
	})
}

// TestOrdersUnderConsensus plays schedules over the real consensus, with
// frozen leaders, kills and cuts.
func TestOrdersUnderConsensus(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		violations, unfinished := run(t, s, faults{}, func(t testing.TB, _ *world) controls { return newElected(t, s.seed) })
		if len(violations)+len(unfinished) > 0 {
			rt.Fatalf("violations %q, unfinished %q", violations, unfinished)
		}
	})
}

// plantedRuns is how many schedules a planted fault gets to show itself. The
// goroutines of one instant run in any order, so that the schedule that shows
// it differs from run to run: one in nine does.
const plantedRuns = 240

func TestPlantedFaultsAreSeen(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		want   string
	}{
		{"frozen senders write late", faults{unguarded: true}, "took effect after"},
		{"late copies are not waited for", faults{noReach: true}, "took effect after, porcupine"},
		{"engines are not closed first", faults{noClosing: true}, "cut"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			missing := strings.Split(test.want, ", ")
			for seed := range plantedRuns {
				violations, _ := run(t, denseSchedule(uint64(seed)), test.faults, underScript)
				for _, v := range violations {
					missing = slices.DeleteFunc(missing, func(want string) bool { return strings.Contains(v, want) })
				}
				if len(missing) == 0 {
					t.Logf("seen by schedule %d", seed)
					return
				}
			}
			t.Fatalf("no %q in %d schedules", missing, plantedRuns)
		})
	}
}
