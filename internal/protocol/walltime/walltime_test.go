package walltime

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// vm is a VM's clock: a steady clock that all VMs share, and a time of day that may be wrong.
type vm struct {
	world *world
	// skew is how far the time of day is ahead of the true time.
	skew time.Duration
}

type world struct{ elapsed time.Duration }

var epoch = time.Unix(1_800_000_000, 0)

func (w *world) trueTime() time.Time { return epoch.Add(w.elapsed) }

func (v *vm) Now() clock.Instant { return clock.Instant(time.Hour + v.world.elapsed) }
func (v *vm) Wall() time.Time    { return v.world.trueTime().Add(v.skew) }

// deployment is some replicas and entries that exchange times as the watches do.
type deployment struct {
	world    *world
	replicas []*replicaVM
	entries  []*entryVM
	// latency is the delay of each message.
	latency time.Duration
}

type replicaVM struct {
	vm
	*Estimator
	// cutOff is set while the replica has no connection to any entry but the first ones.
	cutOff int
}

type entryVM struct {
	vm
	*Follower
}

func newDeployment(replicas, entries int) *deployment {
	d := &deployment{world: &world{}, latency: 3 * time.Millisecond}
	for range replicas {
		r := &replicaVM{vm: vm{world: d.world}, cutOff: entries}
		r.Estimator = NewEstimator(&r.vm)
		d.replicas = append(d.replicas, r)
	}
	for range entries {
		e := &entryVM{vm: vm{world: d.world}}
		e.Follower = NewFollower(&e.vm)
		d.entries = append(d.entries, e)
	}
	return d
}

// run exchanges messages every 100 ms for some time and calls check after each exchange.
func (d *deployment) run(length time.Duration, check func()) {
	for end := d.world.elapsed + length; d.world.elapsed < end; d.world.elapsed += 100*time.Millisecond - 2*d.latency {
		walls := make([]time.Time, len(d.entries))
		for i, e := range d.entries {
			walls[i] = e.Wall()
		}
		d.world.elapsed += d.latency
		estimates := make([]time.Time, len(d.replicas))
		for j, r := range d.replicas {
			for i := range d.entries[:r.cutOff] {
				r.Record(fmt.Sprintf("entry-%d", i), walls[i])
			}
			if t, ok := r.Estimator.Now(); ok {
				estimates[j] = t
			}
		}
		d.world.elapsed += d.latency
		for j, estimate := range estimates {
			for _, e := range d.entries[:d.replicas[j].cutOff] {
				if !estimate.IsZero() {
					e.Record(fmt.Sprintf("replica-%d", j), estimate)
				}
			}
		}
		if check != nil {
			check()
		}
	}
}

// maxError is the error allowed: five times the latency, and 1% of the steps in the tests.
const maxError = 15 * time.Millisecond

func checkTime(t *testing.T, d *deployment, who string, got time.Time) {
	t.Helper()
	if diff := got.Sub(d.world.trueTime()); diff.Abs() > maxError {
		t.Fatalf("%s is %v off the true time after %v, want at most %v", who, diff, d.world.elapsed, maxError)
	}
}

func (d *deployment) check(t *testing.T) {
	t.Helper()
	for i, r := range d.replicas {
		if now, ok := r.Estimator.Now(); ok {
			checkTime(t, d, fmt.Sprintf("replica %d", i), now)
		}
	}
	for i, e := range d.entries {
		checkTime(t, d, fmt.Sprintf("entry %d", i), e.Follower.Now())
	}
}

// TestSteppedClocksMoveNothing steps the clocks of the leader and of a few other VMs by
// 2.4 s, forwards, back and one after the other. It guards against a step that moves
// requests to another window, at the VM itself or at others.
func TestSteppedClocksMoveNothing(t *testing.T) {
	d := newDeployment(5, 69)
	check := func() { d.check(t) }
	d.run(3*time.Second, check)
	const step = 2400 * time.Millisecond
	d.replicas[0].skew = step
	d.run(3*time.Second, check)
	for i := range 8 {
		d.entries[i].skew = step
		d.run(300*time.Millisecond, check)
	}
	d.replicas[0].skew, d.replicas[1].skew = -step, step
	d.run(8*time.Second, check)
	for i := range 8 {
		d.entries[i].skew = -step
	}
	d.run(8*time.Second, check)
	if skew := d.replicas[0].Skew(); (skew + step).Abs() > maxError {
		t.Errorf("skew of the stepped replica is %v, want %v", skew, -step)
	}
	if skew := d.entries[0].Skew(); (skew + step).Abs() > maxError {
		t.Errorf("skew of the stepped entry is %v, want %v", skew, -step)
	}
}

// TestWrongClocksFromTheStart guards against an entry that has its own clock to go by, or a
// replica whose first few entries are wrong, for longer than the start takes.
func TestWrongClocksFromTheStart(t *testing.T) {
	d := newDeployment(5, 20)
	d.replicas[2].skew, d.entries[0].skew, d.entries[1].skew = 2*time.Second, -2*time.Second, time.Second
	d.run(300*time.Millisecond, nil)
	d.run(5*time.Second, func() { d.check(t) })
}

// TestCutOffReplicaKeepsItsEstimate guards against a leader that is cut off from most or all
// entries, whose own clock steps and that closes windows by it, and against entries that
// lose all replicas and go back to their own clocks.
func TestCutOffReplicaKeepsItsEstimate(t *testing.T) {
	d := newDeployment(3, 20)
	d.run(3*time.Second, func() { d.check(t) })
	d.replicas[0].cutOff = 1
	d.replicas[0].skew = 2400 * time.Millisecond
	d.run(30*time.Second, func() { d.check(t) })
	d.replicas[0].cutOff = 0
	d.run(30*time.Second, func() { d.check(t) })
	for _, r := range d.replicas {
		r.cutOff = 0
	}
	for _, e := range d.entries {
		e.skew = -2 * time.Second
	}
	d.run(30*time.Second, func() { d.check(t) })
}

// TestSuspendedEntryReadsOldMessages suspends an entry; once it is resumed, it reads the
// messages that waited in its sockets. They must not set it back.
func TestSuspendedEntryReadsOldMessages(t *testing.T) {
	d := newDeployment(3, 5)
	d.run(8*time.Second, func() { d.check(t) })
	for _, suspension := range []time.Duration{2 * time.Second, 15 * time.Second, time.Minute} {
		waiting := d.world.trueTime()
		d.world.elapsed += suspension
		for i := range 12 { // those of six heartbeats, twice
			for j := range d.replicas {
				d.entries[0].Record(fmt.Sprintf("replica-%d", j), waiting.Add(time.Duration(i)*100*time.Millisecond))
				checkTime(t, d, "the resumed entry", d.entries[0].Follower.Now())
			}
		}
		d.run(20*time.Second, func() { d.check(t) })
	}
}

// TestSmallDeploymentHasAnEstimate guards against a deployment with one entry that never has
// an estimate, and against one that has it from a single clock at the start.
func TestSmallDeploymentHasAnEstimate(t *testing.T) {
	d := newDeployment(1, 1)
	d.run(500*time.Millisecond, nil)
	if _, ok := d.replicas[0].Estimator.Now(); ok {
		t.Error("a replica with two clocks has an estimate at once")
	}
	d.run(3*time.Second, func() { d.check(t) })
	if _, ok := d.replicas[0].Estimator.Now(); !ok {
		t.Error("a replica with two clocks has no estimate after its start")
	}
	if _, ok := NewEstimator(&vm{world: d.world}).Now(); ok {
		t.Error("a replica without entries has an estimate")
	}
}
