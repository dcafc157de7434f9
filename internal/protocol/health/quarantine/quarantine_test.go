package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// reportInterval is the time between two exchanges of entries and replicas.
const reportInterval = 50 * time.Millisecond

// deployment is a number of entries and two control replicas that exchange
// evidence and lists in virtual time.
type deployment struct {
	entries  []*quarantine.Guard
	replicas []*quarantine.Detector
	engines  int
	// watched are parts whose blocking is recorded in everBlocked.
	watched, everBlocked []string
}

func newDeployment(entries int) *deployment {
	d := &deployment{replicas: []*quarantine.Detector{newDetector(), newDetector()}}
	for range entries {
		d.entries = append(d.entries, quarantine.NewGuard(clock.NewRuntime()))
	}
	d.exchange(true)
	return d
}

func newDetector() *quarantine.Detector {
	return quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
}

// exchange sends all reports and then all lists.
func (d *deployment) exchange(first bool) {
	for i, l := range d.replicas {
		source := fmt.Sprint("replica-", i)
		for _, e := range d.entries {
			l.Record(e.Report(source, first))
		}
		l.Advance()
		lists, _ := l.PartLists()
		for _, e := range d.entries {
			e.SetPartLists(source, lists)
		}
	}
	d.everBlocked = append(d.everBlocked, d.blocked(d.watched...)...)
}

// wait lets time pass; sound is answered at entry 0 every reportInterval.
func (d *deployment) wait(total time.Duration, sound ...string) {
	for ; total > 0; total -= reportInterval {
		time.Sleep(reportInterval)
		if len(sound) > 0 {
			d.entries[0].Answered("llm", sound)
		}
		d.exchange(false)
	}
}

// crash ends an engine that had begun to answer the last of the given prompts
// and had the others waiting. All are reported by different entries.
func (d *deployment) crash(prompts ...[]string) {
	d.engines++
	e := fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}
	for i, parts := range prompts {
		d.entries[i%len(d.entries)].Crashed(e, quarantine.Suspect{Request: fmt.Sprint(d.engines, "/", i), Parts: parts, Begun: i == len(prompts)-1})
	}
}

// crashSeveral ends an engine that had begun to answer all of the given prompts.
func (d *deployment) crashSeveral(prompts ...[]string) {
	d.engines++
	for i, parts := range prompts {
		d.entries[i%len(d.entries)].Crashed(fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}, quarantine.Suspect{Request: fmt.Sprint(d.engines, "/", i), Parts: parts, Begun: true})
	}
}

// crashWaiting ends an engine at which the given prompts waited, none of which it
// had begun to answer.
func (d *deployment) crashWaiting(prompts ...[]string) {
	d.engines++
	for i, parts := range prompts {
		d.entries[i%len(d.entries)].Crashed(fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}, quarantine.Suspect{Request: fmt.Sprint(d.engines, "/", i), Parts: parts, Begun: false})
	}
}

// blocked returns those of the parts that any entry blocks.
func (d *deployment) blocked(parts ...string) []string {
	var out []string
	for _, part := range parts {
		if slices.ContainsFunc(d.entries, func(e *quarantine.Guard) bool { _, _, ok := e.Blocked([]string{part}); return ok }) {
			out = append(out, part)
		}
	}
	return out
}

// warm makes all entries see an answer of the service.
func (d *deployment) warm() {
	for _, e := range d.entries {
		e.Answered("llm", []string{"other"})
	}
}

// TestPartThatCrashesEnginesIsKnownToAllEntries crashes engines by one part, at
// entries by turns. All entries must block it within 3 s of the second crash, and
// none of the parts that it shared requests with.
func TestPartThatCrashesEnginesIsKnownToAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(8)
		for range 2 {
			d.warm()
			d.crash([]string{"system", "zz-customer", "deadly"})
			d.wait(time.Second, "system", "other")
		}
		for i, e := range d.entries {
			if _, left, ok := e.Blocked([]string{"system", "zz-customer", "deadly"}); !ok || left <= 0 {
				t.Errorf("entry %d doesn't block the part", i)
			}
		}
		if got := d.blocked("system", "zz-customer", "other"); len(got) > 0 {
			t.Errorf("sound parts %v are blocked", got)
		}
	})
}

// TestPartInTheMiddleIsFound has the deeper parts differ between the requests.
func TestPartInTheMiddleIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		for i := range 3 {
			d.warm()
			d.crash([]string{"system", "deadly", fmt.Sprint("deep-", i)})
			d.wait(time.Second, "system", "other")
		}
		if got := d.blocked("system", "deadly", "deep-0", "deep-1", "deep-2"); !slices.Equal(got, []string{"deadly"}) {
			t.Errorf("blocked %v, want only the deadly part", got)
		}
	})
}

// TestDeadlyPartIsFoundWithoutHeaders has engines end before they send headers, so
// that no request counts as begun. More crashes are needed then.
func TestDeadlyPartIsFoundWithoutHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		for i := range 8 {
			d.warm()
			d.crashWaiting([]string{"system", "deadly"})
			d.wait(time.Second, "system", "other")
			if early := len(d.blocked("deadly")) > 0; early && i < 4 {
				t.Fatalf("the part is blocked after %d crashes", i+1)
			}
		}
		if got := d.blocked("system", "deadly"); !slices.Equal(got, []string{"deadly"}) {
			t.Errorf("blocked %v, want only the deadly part", got)
		}
	})
}

// TestCallerOfDeadlyRequestsStaysFree has one more crash meet a sound request of
// the same caller than the deadly part explains.
func TestCallerOfDeadlyRequestsStaysFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		d.watched = []string{"system", "customer"}
		d.warm()
		d.crash([]string{"x"}, []string{"system", "customer", "sound"})
		d.wait(200*time.Millisecond, "system", "other")
		for range 2 {
			d.warm()
			d.crash([]string{"system", "customer", "deadly"})
			d.wait(time.Second, "system", "other")
		}
		if len(d.blocked("deadly")) == 0 || len(d.everBlocked) > 0 {
			t.Errorf("deadly part blocked: %v, parts that sound requests share blocked: %v; want only the deadly one", d.blocked("deadly"), d.everBlocked)
		}
	})
}

// TestSoundPartsAreNeverBlocked plays crashes that no prompt causes. Nothing may
// be blocked, since the requests that happen to wait are sound.
func TestSoundPartsAreNeverBlocked(t *testing.T) {
	for name, play := range map[string]func(d *deployment){
		"answered between the crashes": func(d *deployment) {
			for range 6 {
				d.warm()
				d.crash([]string{"a", "b"})
				d.wait(time.Second, "a", "b")
			}
		},
		"many engines at once": func(d *deployment) {
			d.warm()
			for range 10 {
				d.crash([]string{"a", "b"})
			}
			d.wait(3*time.Second, "other")
		},
		"all engines, one after another": func(d *deployment) {
			d.warm()
			for range 10 {
				d.crash([]string{"a", "b"})
				d.wait(150 * time.Millisecond)
			}
			d.wait(10 * time.Second)
		},
		"service answers nothing before": func(d *deployment) {
			for range 10 {
				d.crash([]string{"a", "b"})
				d.wait(5 * time.Second)
			}
		},
		"two crashes with several candidates": func(d *deployment) {
			for range 2 {
				d.warm()
				d.crashSeveral([]string{"x"}, []string{"a", "b"}, []string{"y"})
				d.wait(time.Second, "other")
			}
		},
		"answered half a second after the crashes": func(d *deployment) {
			d.warm()
			for range 3 {
				d.crash([]string{"a", "b"})
				d.wait(150*time.Millisecond, "other")
			}
			d.wait(50*time.Millisecond, "a", "b")
			d.wait(2*time.Second, "other")
		},
		"answered before each crash that it waits at": func(d *deployment) {
			d.warm()
			for range 20 {
				d.wait(500*time.Millisecond, "a", "b")
				d.crashWaiting([]string{"a", "b"})
				d.wait(500*time.Millisecond, "other")
			}
		},
		"waiting in several waves of crashes": func(d *deployment) {
			for range 5 {
				d.warm()
				for range 4 {
					d.crashWaiting([]string{"a", "b"}, []string{"x"}, []string{"y"})
				}
				d.wait(time.Second, "other")
			}
		},
		"crashes far apart": func(d *deployment) {
			for range 6 {
				d.warm()
				d.crash([]string{"a", "b"})
				d.wait(121*time.Second, "other")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(4)
				d.watched = []string{"a", "b", "other"}
				play(d)
				if len(d.everBlocked) > 0 {
					t.Errorf("blocked %v for a time, want nothing", d.everBlocked)
				}
			})
		})
	}
}

// TestSoundPartsBesideDeadlyOneStayFree draws crashes by one part, with sound
// requests that wait at the same engines and are answered later by others. Only
// the deadly part may be blocked, and it must be after five crashes.
func TestSoundPartsBesideDeadlyOneStayFree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			d := newDeployment(4)
			var sound []string
			for range 5 {
				d.warm()
				prompts := [][]string{}
				for range rapid.IntRange(0, 12).Draw(r, "waiting") {
					part := fmt.Sprint("s", rapid.IntRange(0, 20).Draw(r, "sound"))
					sound = append(sound, part)
					prompts = append(prompts, []string{"system", part})
				}
				d.crash(append(prompts, []string{"system", "customer", "deadly"})...)
				d.wait(time.Duration(rapid.IntRange(2, 20).Draw(r, "pause")) * reportInterval)
				for _, e := range d.entries {
					e.Answered("llm", append([]string{"system"}, sound...))
				}
				d.wait(300*time.Millisecond, "system", "other")
			}
			d.wait(time.Second, "system", "other")
			if got := d.blocked(append(sound, "system", "customer", "other")...); len(got) > 0 {
				r.Fatalf("sound parts %v are blocked", got)
			}
			if len(d.blocked("deadly")) == 0 {
				r.Fatal("the deadly part is not blocked after five crashes")
			}
		})
	})
}

// quarantineDeadly puts the part "deadly" in quarantine.
func quarantineDeadly(t *testing.T, d *deployment) {
	t.Helper()
	for range 2 {
		d.warm()
		d.crash([]string{"system", "deadly"})
		d.wait(time.Second, "system")
	}
	if len(d.blocked("deadly")) == 0 {
		t.Fatal("the part is not blocked")
	}
}

// TestQuarantineEnds checks that a part is free again after its time, and at once
// if an engine answers it after all.
func TestQuarantineEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		quarantineDeadly(t, d)
		d.wait(quarantine.Duration, "system")
		if len(d.blocked("deadly")) > 0 {
			t.Error("the part is still blocked after the quarantine")
		}
		d = newDeployment(3)
		quarantineDeadly(t, d)
		d.entries[1].Answered("llm", []string{"system", "deadly"})
		d.wait(reportInterval)
		if len(d.blocked("deadly")) > 0 {
			t.Error("the part is still blocked although it was answered")
		}
	})
}

// TestQuarantineOutlivesControl checks that entries keep blocking while no replica
// lives, that they tell new replicas, and these tell new entries.
func TestQuarantineOutlivesControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		quarantineDeadly(t, d)
		d.replicas = nil
		time.Sleep(5 * time.Second)
		if len(d.blocked("deadly")) == 0 {
			t.Error("the part is free without control")
		}
		d.replicas = []*quarantine.Detector{newDetector(), newDetector()}
		late := quarantine.NewGuard(clock.NewRuntime())
		d.entries = append(d.entries, late)
		d.exchange(true)
		if _, _, ok := late.Blocked([]string{"deadly"}); !ok {
			t.Error("an entry that starts later doesn't block the part")
		}
	})
}

// TestReleasedPartIsNotAdopted has an entry that missed a release report the old
// quarantine again.
func TestReleasedPartIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		quarantineDeadly(t, d)
		stale := d.entries[2]
		d.entries = d.entries[:2]
		d.entries[0].Answered("llm", []string{"deadly"})
		d.wait(reportInterval)
		d.replicas[0].Record(stale.Report("replica-0", true))
		d.wait(reportInterval)
		if len(d.blocked("deadly")) > 0 {
			t.Error("a stale report blocks the part again")
		}
	})
}

// TestMemoryIsBounded reports far more than a deployment could.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(1)
		for i := range 3000 {
			if i%500 == 0 {
				d.warm()
			}
			d.crash([]string{"system", fmt.Sprint("p", i%1500)})
		}
		if got := len(d.entries[0].Report("replica-9", true)); got > 512 {
			t.Errorf("an entry reports %d pieces of evidence, want at most 512", got)
		}
		waiting := make([][]string, 200)
		for i := range waiting {
			waiting[i] = []string{fmt.Sprint("w", i)}
		}
		d.crashWaiting(waiting...)
		d.exchange(false)
		if crashes, candidates := d.replicas[0].Kept(); crashes > 256 || candidates > 64 {
			t.Errorf("a replica keeps %d crashes and up to %d candidates, want at most 256 and 64", crashes, candidates)
		}
		for i := range 5000 {
			d.replicas[0].Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{fmt.Sprint("v", i)}, Left: time.Hour}})
		}
		lists, _ := d.replicas[0].PartLists()
		if len(lists.Quarantined) > 256 || len(lists.Suspected) > 64 {
			t.Errorf("got %d parts in quarantine and %d suspected, want at most 256 and 64", len(lists.Quarantined), len(lists.Suspected))
		}
		for _, q := range lists.Quarantined {
			if q.Left > quarantine.Duration {
				t.Fatalf("quarantine of %s lasts %v, want at most %v", q.Part, q.Left, quarantine.Duration)
			}
		}
	})
}

// request returns the fingerprint of a content sent by a caller.
func request(content, caller string) quarantine.Fingerprint {
	return quarantine.NewFingerprint(caller, []byte(content))
}

// crashUnder ends a server at which the given requests waited, each known to another
// entry.
func (d *deployment) crashUnder(parts []string, requests ...quarantine.Fingerprint) {
	d.engines++
	for i, f := range requests {
		e := fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}
		d.entries[(d.engines+i)%len(d.entries)].Crashed(e, quarantine.Suspect{Request: fmt.Sprint(d.engines, "/", i), Fingerprint: f, Parts: parts})
	}
}

// blocksRequest reports at how many entries a request is in quarantine.
func (d *deployment) blocksRequest(f quarantine.Fingerprint) (entries int) {
	for _, e := range d.entries {
		if _, _, ok := e.Blocked(f.Keys()); ok {
			entries++
		}
	}
	return entries
}

// TestRequestThatCrashesServersIsKnownToAllEntries ends three servers under repeats of
// one request. All entries must block it soon after the third, and neither the
// same content of another caller nor what waited beside it once.
func TestRequestThatCrashesServersIsKnownToAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(8)
		deadly := request("deadly", "caller")
		for i := range 3 {
			d.warm()
			if got := d.blocksRequest(deadly); got != 0 {
				t.Errorf("%d entries block the request after %d crashes", got, i)
			}
			d.crashUnder(nil, deadly, request(fmt.Sprint("beside ", i), "caller"))
			d.wait(time.Second)
		}
		if got := d.blocksRequest(deadly); got != len(d.entries) {
			t.Errorf("%d entries block the request, want all", got)
		}
		for _, sound := range []quarantine.Fingerprint{request("deadly", "another"), request("other", "caller"), request("beside 2", "caller")} {
			if got := d.blocksRequest(sound); got != 0 {
				t.Errorf("%d entries block a sound request", got)
			}
		}
	})
}

// TestRepeatedEvidenceCountsOnce repeats the evidence of more requests than a crash keeps, as entries do that connect again.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDetector()
		var evidence []quarantine.Evidence
		for i := range 100 {
			evidence = append(evidence, quarantine.Evidence{Kind: quarantine.Crash, Service: "llm", Engine: "e", Request: fmt.Sprint(i), Parts: []string{"system"}})
		}
		d.Record(evidence)
		first := d.CandidatesOf("e")
		for range 5 {
			d.Record(evidence)
		}
		if got := d.CandidatesOf("e"); got != first || first != len(evidence) {
			t.Errorf("got %d candidates, then %d, want %d", first, got, len(evidence))
		}
	})
}

// TestPartOfTwoServicesIsJudgedByEach has servers of two services end under a part, in a few crashes of each, which must not add up.
func TestPartOfTwoServicesIsJudgedByEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(2)
		for i := range 30 {
			service, parts := "llm", []string{"system", fmt.Sprint("session ", i)}
			if i%5 == 0 { // five crashes with the part, of 15 of each service
				parts = []string{"shared", fmt.Sprint("session ", i)}
			}
			if i%2 == 0 {
				service = "other"
			}
			d.engines++
			d.entries[i%2].Crashed(fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: service}, quarantine.Suspect{Request: fmt.Sprint(i), Parts: parts})
			for range 4 {
				time.Sleep(reportInterval)
				d.entries[0].Answered("llm", []string{"system"})
				d.entries[1].Answered("other", []string{"system"})
				d.exchange(false)
			}
		}
		if got := d.blocked("shared", "system"); len(got) > 0 {
			t.Errorf("blocked %v, want nothing", got)
		}
	})
}

// TestRequestsOfAServiceThatIsDownAreNotBlamed ends servers of a service that answers nothing under repeats of two requests.
func TestRequestsOfAServiceThatIsDownAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		repeats := []quarantine.Fingerprint{request("one", "caller"), request("other", "caller")}
		for range 6 {
			d.crashUnder(nil, repeats...)
			d.wait(time.Second)
		}
		for _, r := range repeats {
			if got := d.blocksRequest(r); got != 0 {
				t.Errorf("%d entries block a request of a service that is down", got)
			}
		}
	})
}

// TestContentThatCrashesServersForSeveralCallers has each repeat come from another caller.
func TestContentThatCrashesServersForSeveralCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		for i := range 3 {
			d.warm()
			d.crashUnder(nil, request("deadly", fmt.Sprint("caller ", i)))
			d.wait(time.Second)
		}
		if got := d.blocksRequest(request("deadly", "a fourth caller")); got != len(d.entries) {
			t.Errorf("%d entries block the content, want all", got)
		}
	})
}

// TestAnsweredRequestIsNotBlocked answers a request between the crashes at which it waited, and one that several callers send.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		popular := request("popular", "caller")
		for range 6 {
			d.warm()
			d.crashUnder(nil, popular, request("popular", "another"))
			d.wait(time.Second)
			d.entries[1].Answered("llm", popular.Keys())
			d.wait(time.Second)
			if d.blocksRequest(popular) > 0 {
				t.Fatal("an answered request is blocked")
			}
		}
	})
}

// TestSingleRequestDoesNotBlameItsParts ends servers under one request of a session. The session's other requests must not be refused for it.
func TestSingleRequestDoesNotBlameItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		d.watched = []string{"system", "session"}
		deadly := request("deadly", "caller")
		for range 8 {
			d.warm()
			d.engines++
			e := fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}
			d.entries[0].Crashed(e, quarantine.Suspect{Request: fmt.Sprint(d.engines), Fingerprint: deadly, Parts: d.watched, Begun: true})
			d.wait(time.Second, "other")
		}
		if len(d.everBlocked) > 0 {
			t.Errorf("parts %v were blocked for a single request", d.everBlocked)
		}
		if got := d.blocksRequest(deadly); got != len(d.entries) {
			t.Errorf("%d entries block the request, want all", got)
		}
	})
}

// TestBegunRequestReplacesWaitingOnes has more requests wait at a server than are kept. The one that it had begun to answer must be among them.
func TestBegunRequestReplacesWaitingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(1)
		deadly := request("deadly", "caller")
		for round := range 3 {
			d.warm()
			e := fleet.Engine{ID: fmt.Sprint("e", round), Service: "llm"}
			for i := range 200 {
				d.entries[0].Crashed(e, quarantine.Suspect{Request: fmt.Sprint(i), Fingerprint: request(fmt.Sprint(round, "/", i), "caller")})
			}
			d.entries[0].Crashed(e, quarantine.Suspect{Request: "last", Fingerprint: deadly, Begun: true})
			d.wait(time.Second)
		}
		if d.blocksRequest(deadly) != 1 {
			t.Error("the request is not blocked")
		}
	})
}

// TestCrashesOfPartInQuarantineDoNotCount has the same request wait beside several requests with a deadly part.
func TestCrashesOfPartInQuarantineDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		beside := request("beside", "caller")
		for i := range 6 {
			d.warm()
			d.crash([]string{"system", "deadly"})
			d.entries[0].Crashed(fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}, quarantine.Suspect{Request: "beside", Fingerprint: beside})
			d.wait(time.Second, "system", "other")
			if d.blocksRequest(beside) > 0 {
				t.Fatalf("the request beside the part is blocked after %d crashes", i+1)
			}
		}
	})
}

// TestCrashesOfRequestInQuarantineDoNotCount has other requests of its session wait beside a deadly request that some entries still send.
func TestCrashesOfRequestInQuarantineDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		d.watched = []string{"system", "session"}
		deadly := request("deadly", "caller")
		for _, replica := range d.replicas {
			replica.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: deadly.Keys()[:1], Left: time.Minute}})
		}
		for i := range 6 {
			d.warm()
			d.engines++
			e := fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}
			for j, f := range []quarantine.Fingerprint{deadly, request(fmt.Sprint("beside ", i), "caller")} {
				d.entries[0].Crashed(e, quarantine.Suspect{Request: fmt.Sprint(j), Fingerprint: f, Parts: d.watched, Begun: true})
			}
			d.wait(time.Second, "other")
		}
		if len(d.everBlocked) > 0 {
			t.Errorf("parts %v were blocked for a request in quarantine", d.everBlocked)
		}
	})
}

// TestManySuspectedRequestsLeaveRoomForParts has more requests than are suspected at once wait at two servers each that end.
func TestManySuspectedRequestsLeaveRoomForParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		for wave := range 4 {
			for range 2 {
				var sound []quarantine.Fingerprint
				for i := range 40 {
					sound = append(sound, request(fmt.Sprint(wave, "/", i), "caller"))
				}
				d.warm()
				d.crashUnder(nil, sound...)
				d.wait(500 * time.Millisecond)
			}
		}
		for range 2 {
			d.warm()
			d.crash([]string{"system", "deadly"})
			d.wait(time.Second, "system", "other")
		}
		if got := d.blocked("deadly"); len(got) != 1 {
			t.Error("the part is not blocked")
		}
	})
}

// TestCrashCountsOnceForItsRepeats has several repeats of a request wait at the same server.
func TestCrashCountsOnceForItsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		d.warm()
		f := request("repeated", "caller")
		d.crashUnder(nil, f, f, f, f)
		d.wait(time.Second)
		if d.blocksRequest(f) > 0 {
			t.Error("a request is blocked after one crash")
		}
	})
}

// TestRequestsWithoutPartsDoNotSpeakForParts has requests without shared parts at the engines that a part crashes.
func TestRequestsWithoutPartsDoNotSpeakForParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(3)
		for i := range 2 {
			d.warm()
			d.crash([]string{"system", "deadly"})
			for j := range 5 {
				f := request(fmt.Sprint(i, "/", j), "caller")
				d.entries[0].Crashed(fleet.Engine{ID: fmt.Sprint("e", d.engines), Service: "llm"}, quarantine.Suspect{Request: fmt.Sprint("beside ", j), Fingerprint: f, Begun: true})
			}
			d.wait(time.Second, "system", "other")
		}
		if got := d.blocked("deadly"); len(got) != 1 {
			t.Error("the part is not blocked")
		}
	})
}

// TestFingerprintKeepsFieldsApart checks that no field of a request runs into the next one.
func TestFingerprintKeepsFieldsApart(t *testing.T) {
	seen := make(map[quarantine.Fingerprint]bool)
	for _, f := range []quarantine.Fingerprint{
		quarantine.NewFingerprint("c", []byte("ab"), []byte("")),
		quarantine.NewFingerprint("c", []byte("a"), []byte("b")),
		quarantine.NewFingerprint("c", []byte("ab")),
		quarantine.NewFingerprint("d", []byte("ab")),
	} {
		if seen[f] {
			t.Errorf("two requests have the fingerprint %v", f)
		}
		seen[f] = true
	}
	if !seen[quarantine.NewFingerprint("c", []byte("ab"))] || len((quarantine.Fingerprint{}).Keys()) > 0 {
		t.Error("repeats differ, or an empty fingerprint has keys")
	}
}
