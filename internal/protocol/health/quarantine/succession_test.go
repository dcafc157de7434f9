package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// scene plays evidence of one service straight to a detector in virtual time.
type scene struct {
	detector *quarantine.Detector
	engines  int
}

// crash ends a server at which requests with the given parts waited.
func (s *scene) crash(prompts ...[]string) {
	s.engines++
	var evidence []quarantine.Evidence
	for i, parts := range prompts {
		id := fmt.Sprint(s.engines, "/", i)
		evidence = append(evidence, quarantine.Evidence{
			Kind: quarantine.Crash, Service: "llm", Engine: fmt.Sprint("e", s.engines), Request: id,
			Fingerprint: quarantine.NewFingerprint("caller", []byte(id)), Parts: parts,
		})
	}
	s.detector.Record(evidence)
}

// answered reports an answer to a request with the given parts, or with none.
func (s *scene) answered(parts ...string) {
	s.detector.Record([]quarantine.Evidence{{Kind: quarantine.Answered, Service: "llm", Parts: parts}})
}

// wait lets time pass, with an answer to other requests of the same system each
// interval.
func (s *scene) wait(total, interval time.Duration) {
	for elapsed := trafficStep; elapsed <= total; elapsed += trafficStep {
		time.Sleep(trafficStep)
		if interval > 0 && elapsed%interval == 0 {
			s.answered("system")
		}
		s.detector.Advance()
	}
}

// blocks reports whether a part is in quarantine.
func (s *scene) blocks(part string) bool {
	lists, _ := s.detector.PartLists()
	for _, q := range lists.Quarantined {
		if q.Part == part {
			return true
		}
	}
	return false
}

// beside returns prompts of n sound requests, no two alike, and the deadly one at the
// given place.
func (s *scene) beside(n, place int) (out [][]string) {
	for i := range n {
		out = append(out, []string{"system", fmt.Sprintf("sound-%d-%d", s.engines, i)})
	}
	out[place] = []string{"system", "deadly"}
	return out
}

// TestFiveCrashesInQuickSuccession has a part end five servers at once or nearly so, and
// then one now and then. No more than three of its requests may be sent later than 3 s
// after the fifth crash.
func TestFiveCrashesInQuickSuccession(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		for _, pause := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
			if gap >= 50*time.Millisecond || pause < 5*time.Second { // see TestSimultaneousCrashesBeforeRareOnes
				t.Run(fmt.Sprint(gap, " then each ", pause), func(t *testing.T) { playSuccession(t, gap, pause) })
			}
		}
	}
}

// TestSimultaneousCrashesBeforeRareOnes has a part end five servers within 80 ms, and then one each 5 s.
func TestSimultaneousCrashesBeforeRareOnes(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) { playSuccession(t, gap, 5*time.Second) })
	}
}

// playSuccession has a part end five servers with a gap in between, and then one after each pause.
func playSuccession(t *testing.T, gap, pause time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{detector: newDetector()}
		for i := range 5 {
			if i > 0 {
				s.wait(gap, trafficStep)
			}
			s.crash(s.beside(12, 5)...)
		}
		s.wait(200*time.Millisecond, trafficStep)
		late := 0
		for elapsed := 200*time.Millisecond + pause; !s.blocks("deadly") && late < 20; elapsed += pause {
			s.wait(pause, 50*time.Millisecond)
			if s.blocks("deadly") {
				break
			}
			if elapsed > sendBound {
				late++
			}
			s.crash(s.beside(12, 5)...)
		}
		if late > lateSends {
			t.Errorf("%d requests sent later than %v after the fifth crash, want at most %d", late, sendBound, lateSends)
		}
	})
}

// TestPartThatKeepsSmallServiceDown has a part keep three servers down in turn, which
// answer little between the crashes and nothing after the last.
func TestPartThatKeepsSmallServiceDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{detector: newDetector()}
		for range 5 {
			s.crash(s.beside(2, 1)...)
			s.wait(300*time.Millisecond, 0)
			s.wait(700*time.Millisecond, 100*time.Millisecond)
		}
		s.crash(s.beside(2, 1)...)
		s.wait(time.Second, 0)
		if !s.blocks("deadly") || s.blocks("system") {
			t.Errorf("deadly part blocked: %v, sound one: %v; want the deadly one alone", s.blocks("deadly"), s.blocks("system"))
		}
	})
}

// TestServiceThatAnswersNothingBlamesNoPart ends servers of a service that is down.
func TestServiceThatAnswersNothingBlamesNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scene{detector: newDetector()}
		s.answered()
		for range 20 {
			s.crash(s.beside(6, 3)...)
			s.wait(time.Second, 0)
		}
		if s.blocks("deadly") || s.blocks("system") {
			t.Error("a part is blocked although the service answers nothing")
		}
	})
}

// TestManyWaitingDoNotDisplaceDeadlyPart has more requests wait at each server than are
// kept, the deadly one last, with and without waves of five other servers.
func TestManyWaitingDoNotDisplaceDeadlyPart(t *testing.T) {
	for _, play := range []struct {
		waiting int
		waves   bool
	}{{60, true}, {65, false}, {100, false}} {
		t.Run(fmt.Sprint(play), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scene{detector: newDetector()}
				crashes := 0
				for ; !s.blocks("deadly") && crashes < 20; crashes++ {
					place := play.waiting - 1
					if crashes == 0 {
						place = 10
					}
					s.crash(s.beside(play.waiting, place)...)
					s.wait(300*time.Millisecond, trafficStep)
					if play.waves && crashes%4 == 1 {
						for range 5 {
							s.crash(s.beside(60, 59)[:59]...)
						}
					}
					s.wait(700*time.Millisecond, trafficStep)
				}
				// The fifth is 4 s after the first, and those after 7 s are late.
				if late := crashes - 8; late > lateSends {
					t.Errorf("%d crashes until the quarantine, %d of them late, want at most %d", crashes, late, lateSends)
				}
				if s.blocks("system") {
					t.Error("the part that all share is blocked")
				}
			})
		})
	}
}
