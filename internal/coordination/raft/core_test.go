package raft

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	scheduleEvents = 1200
	// maxFaultSchedules is the number of schedules within which an injected
	// fault must be detected at least once.
	maxFaultSchedules = 2000
)

// drawSchedule returns a schedule of uniformly distributed events.
func drawSchedule(seed1, seed2 uint64) []uint32 {
	r := rand.New(rand.NewPCG(seed1, seed2))
	schedule := make([]uint32, scheduleEvents)
	for i := range schedule {
		schedule[i] = r.Uint32()
	}
	return schedule
}

func TestRaftProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		seeds := rapid.SliceOfN(rapid.Uint64(), 2, 2).Draw(t, "seeds")
		if err := newSim(n, noFault).run(drawSchedule(seeds[0], seeds[1])); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRaftPropertiesWithLearners checks the same properties while learners replace
// voters that leave, don't respond or are lost for good.
func TestRaftPropertiesWithLearners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		seeds := rapid.SliceOfN(rapid.Uint64(), 2, 2).Draw(t, "seeds")
		if err := newBoundedSim(n, n, noFault).run(drawSchedule(seeds[0], seeds[1])); err != nil {
			t.Fatal(err)
		}
	})
}

func TestChecksDetectInjectedFaults(t *testing.T) {
	for name, f := range map[string]fault{
		"acknowledge before sync": ackBeforeSync,
		"vote after amnesia":      voteAfterAmnesia,
		"no wait after transfer":  noTransferWait,
		"vote after restart":      voteAfterRestart,
		"no lease margin":         noLeaseMargin,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxFaultSchedules) {
				if err := newSim(3, f).run(drawSchedule(seed, 0)); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("injected fault was not detected in %d schedules", maxFaultSchedules)
		})
	}
}
