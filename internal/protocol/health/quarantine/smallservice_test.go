package quarantine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestPartThatEndsManyServersAtOnceIsFoundInTime has twelve servers end under a part within 400 ms and the rest of the service answer.
func TestPartThatEndsManyServersAtOnceIsFoundInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{detector: newDetector()}
		for i := range 12 {
			s.crash(s.beside(4+i%5, i%4)...)
			s.wait(30*time.Millisecond, trafficStep)
		}
		s.wait(1500*time.Millisecond, 100*time.Millisecond)
		if !s.blocks("deadly") || s.blocks("system") {
			t.Errorf("deadly part blocked: %v, sound one: %v; want the deadly one alone", s.blocks("deadly"), s.blocks("system"))
		}
	})
}

// TestCallersWithOneRequestAtEachCrashAreNotBlamed has six callers, each with a part of its own, wait at every server of a service that ends.
func TestCallersWithOneRequestAtEachCrashAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{detector: newDetector()}
		callers := make([][]string, 6)
		for i := range callers {
			callers[i] = []string{"system", fmt.Sprint("caller-", i)}
		}
		for range 6 {
			for range 3 {
				s.crash(callers...)
				s.wait(30*time.Millisecond, 0)
			}
			s.wait(time.Second, 500*time.Millisecond)
		}
		for _, parts := range callers {
			if s.blocks(parts[1]) {
				t.Errorf("%s is in quarantine, want nothing", parts[1])
			}
		}
	})
}

// drawSmallService draws a service of two to four servers with short queues.
func drawSmallService(r *rand.Rand) traffic {
	return traffic{servers: 2 + r.IntN(3), rate: 20 + 140*r.Float64(), queue: 2 + r.IntN(12), success: 0.5 + 0.5*r.Float64(), duration: 30 * time.Second}
}

// TestCrashesOfSmallServiceBlameNoPart ends most servers of small services again and again for reasons outside the prompts.
func TestCrashesOfSmallServiceBlameNoPart(t *testing.T) {
	forSeeds(t, func(r *rand.Rand) traffic {
		c := drawSmallService(r)
		c.waveEvery, c.waveSize = 300*time.Millisecond+time.Duration(r.Int64N(int64(3*time.Second))), c.servers
		return c
	}, func(seed int, c traffic, out outcome) {
		if len(out.sound) > 0 {
			t.Errorf("seed %d (%v): %v in quarantine after %d crashes, want nothing", seed, c, out.sound, out.ended)
		}
	})
}

// TestDeadlyPartOfSmallServiceIsFoundInTime has a part keep nearly all servers of small services down.
func TestDeadlyPartOfSmallServiceIsFoundInTime(t *testing.T) {
	late, parts := 0, 0
	forSeeds(t, func(r *rand.Rand) traffic {
		c := drawSmallService(r)
		c.deadly = []deadlyPart{{name: "deadly", depth: r.IntN(3), share: 0.03 + 0.2*math.Pow(r.Float64(), 2)}}
		return c
	}, func(seed int, c traffic, out outcome) {
		if len(out.sound) > 0 {
			t.Errorf("seed %d (%v): sound parts %v in quarantine", seed, c, out.sound)
		}
		if _, ok := out.after["deadly"]; ok {
			parts++
		}
		if out.late["deadly"] > lateSends {
			late++
			t.Logf("seed %d (%v): %d requests sent late, %d crashes, quarantine %v after the fifth; lacked %s", seed, c, out.late["deadly"], out.crashes["deadly"], out.after["deadly"], out.lacked["deadly"])
		}
	})
	if late > 0 {
		t.Errorf("%d of %d parts were found late, want none", late, parts)
	}
}
