package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// countKinds returns how many crashes and answers without parts a report has.
func countKinds(report []quarantine.Evidence) (crashes, answers int) {
	for _, e := range report {
		switch {
		case e.Kind == quarantine.Crash:
			crashes++
		case e.Kind == quarantine.Answered && len(e.Parts) == 0:
			answers++
		}
	}
	return crashes, answers
}

// TestEntryWithoutAnswersReportsCrashes guards against an entry that has just started, or has a quiet service, and drops its evidence.
func TestEntryWithoutAnswersReportsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, idle := range map[string]time.Duration{"just started": 0, "quiet for a minute": time.Minute} {
			g := quarantine.NewGuard(clock.NewRuntime())
			if idle > 0 {
				g.Answered("llm", []string{"other"})
				time.Sleep(idle)
			}
			g.Crashed(fleet.Engine{ID: "e", Service: "llm"}, quarantine.Suspect{Request: "r", Parts: []string{"deadly"}, Begun: true})
			if crashes, _ := countKinds(g.Report("replica", true)); crashes != 1 {
				t.Errorf("%s: got %d crashes, want one", name, crashes)
			}
		}
	})
}

// TestCrashesAtEntriesWithoutAnswersSuffice has a quiet service crash under a part at entries that start anew, while another entry sees it answer.
func TestCrashesAtEntriesWithoutAnswersSuffice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(4)
		for i := range 3 {
			d.entries[i+1].Crashed(fleet.Engine{ID: fmt.Sprint("e", i), Service: "llm"}, quarantine.Suspect{Request: fmt.Sprint(i), Parts: []string{"system", "deadly"}, Begun: true})
			d.wait(2*time.Second, "system", "other")
		}
		if got := d.blocked("system", "deadly"); !slices.Equal(got, []string{"deadly"}) {
			t.Errorf("blocked %v, want only the deadly part", got)
		}
	})
}

// TestAnswersAfterACrashAreReported checks that an entry that has seen a crash reports that the service answers, before anything is suspected, for a time and not each answer.
func TestAnswersAfterACrashAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		report := func(service string) int {
			g.Answered(service, []string{"other"})
			_, answers := countKinds(g.Report("replica", false))
			return answers
		}
		if got := report("llm"); got != 0 {
			t.Errorf("%d answers reported before any crash, want none", got)
		}
		g.Crashed(fleet.Engine{ID: "e", Service: "llm"}, quarantine.Suspect{Request: "r", Parts: []string{"deadly"}})
		if got := report("plain"); got != 0 {
			t.Errorf("%d answers of another service reported, want none", got)
		}
		reported := 0
		for range 1000 {
			reported += report("llm")
			time.Sleep(time.Millisecond)
		}
		if reported < 1 || reported > 5 {
			t.Errorf("%d answers reported within a second, want one to five", reported)
		}
		time.Sleep(time.Minute)
		if got := report("llm"); got != 0 {
			t.Errorf("%d answers reported a minute after the crash, want none", got)
		}
	})
}

// crashOf records n requests that waited at a server that ended.
func crashOf(g *quarantine.Guard, server string, n int) {
	for i := range n {
		g.Crashed(fleet.Engine{ID: server, Service: "llm"}, quarantine.Suspect{Request: fmt.Sprint(server, "/", i), Parts: []string{"system", fmt.Sprint("p", i)}, Begun: i == n-1})
	}
}

// serversOf returns the servers that ended in a report, and those of them whose begun request it has.
func serversOf(report []quarantine.Evidence) (servers, begun map[string]bool) {
	servers, begun = make(map[string]bool), make(map[string]bool)
	for _, e := range report {
		if e.Kind == quarantine.Crash {
			servers[e.Engine] = true
			begun[e.Engine] = begun[e.Engine] || e.Begun
		}
	}
	return servers, begun
}

// TestAnswersDisplaceNoCrash guards against crashes that a replica which connects later doesn't learn, because answers to suspected parts have filled the evidence.
func TestAnswersDisplaceNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		var suspected []string
		for i := range 64 {
			suspected = append(suspected, fmt.Sprint("p", i))
		}
		g.SetPartLists("replica", quarantine.PartLists{Suspected: suspected})
		crashOf(g, "e", 1)
		for range 100 {
			g.Answered("llm", suspected)
			time.Sleep(200 * time.Millisecond)
		}
		report := g.Report("replica", true)
		if servers, _ := serversOf(report); len(servers) != 1 {
			t.Errorf("the report has %d crashes, want one", len(servers))
		}
		answered := make(map[string]time.Duration)
		for _, e := range report {
			for _, part := range e.Parts {
				if e.Kind == quarantine.Answered {
					answered[part] = e.Age
				}
			}
		}
		if len(answered) != len(suspected) || answered["p0"] > 200*time.Millisecond {
			t.Errorf("the report has answers to %d parts, the first %v ago, want the newest answer to each of %d", len(answered), answered["p0"], len(suspected))
		}
	})
}

// TestCrashesWithManyWaitingDisplaceNoOther has many requests wait at each server that ends.
func TestCrashesWithManyWaitingDisplaceNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		for i := range 20 {
			crashOf(g, fmt.Sprint("e", i), 300)
			time.Sleep(time.Second)
		}
		report := g.Report("replica", true)
		servers, begun := serversOf(report)
		for i := range 20 {
			if engine := fmt.Sprintf("e%d/0", i); !servers[engine] || !begun[engine] {
				t.Errorf("the report lacks the crash of %s or the request that it had begun to answer", engine)
			}
		}
		if len(report) > 512 {
			t.Errorf("the report has %d pieces, want at most 512", len(report))
		}
	})
}

// TestEvidenceIsReportedOnce has replicas connect at different times, while evidence is replaced by newer one.
func TestEvidenceIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		g.SetPartLists("replica", quarantine.PartLists{Suspected: []string{"p0"}})
		for i := range 5 {
			crashOf(g, fmt.Sprint("e", i), 400)
			g.Answered("llm", []string{"p0"})
			first, again := g.Report("replica", i == 0), g.Report("replica", false)
			if servers, begun := serversOf(first); len(servers) != 1 || !begun[fmt.Sprintf("e%d/0", i)] || len(again) > 0 {
				t.Errorf("report %d has crashes of %v, the next %d pieces; want the newest crash, then none", i, servers, len(again))
			}
			if answers := slices.IndexFunc(first, func(e quarantine.Evidence) bool { return e.Kind == quarantine.Answered }); answers < 0 {
				t.Errorf("report %d has no answer", i)
			}
			time.Sleep(time.Second)
		}
		if servers, _ := serversOf(g.Report("late", true)); len(servers) != 5 {
			t.Errorf("a replica that connects later learns of %d crashes, want 5", len(servers))
		}
	})
}

// TestAnswersReachReplicaThatWasDown guards against a quarantine that an answer ended and that a replica, down for some minutes, brings back.
func TestAnswersReachReplicaThatWasDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		g.SetPartLists("up", quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "sound", Left: quarantine.Duration}}})
		time.Sleep(time.Second)
		g.Answered("llm", []string{"sound"})
		const down = 5 * time.Minute
		time.Sleep(down)
		back := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
		back.Record([]quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"sound"}, Left: quarantine.Duration - time.Second - down}})
		back.Record(g.Report("back", true))
		if lists, _ := back.PartLists(); len(lists.Quarantined) > 0 {
			t.Errorf("got %v in quarantine, want none", lists.Quarantined)
		}
	})
}

// TestAnsweredPartIsNotBlockedByListOfReplicaThatIsDown guards against an entry that keeps the list of a replica that ended before the part was answered.
func TestAnsweredPartIsNotBlockedByListOfReplicaThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(clock.NewRuntime())
		listed := quarantine.PartLists{Quarantined: []quarantine.Quarantined{{Part: "sound", Left: quarantine.Duration}}}
		g.SetPartLists("down", listed)
		g.SetPartLists("up", listed)
		time.Sleep(time.Second)
		g.Answered("llm", []string{"sound"})
		g.SetPartLists("up", quarantine.PartLists{})
		if part, _, blocked := g.Blocked([]string{"sound"}); blocked {
			t.Errorf("part %s is blocked though it was answered", part)
		}
		time.Sleep(time.Second)
		g.SetPartLists("up", listed)
		if _, _, blocked := g.Blocked([]string{"sound"}); !blocked {
			t.Error("a quarantine that began after the answer doesn't hold")
		}
	})
}

// TestAnswerOutweighsListOfReplicaThatIsDown guards against a replica that takes a part over from an entry's old list minutes after it was answered.
func TestAnswerOutweighsListOfReplicaThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
		time.Sleep(time.Second)
		left := quarantine.Duration
		inQuarantine := func() []quarantine.Evidence {
			return []quarantine.Evidence{{Kind: quarantine.InQuarantine, Parts: []string{"sound"}, Left: left}}
		}
		d.Record(inQuarantine())
		d.Record([]quarantine.Evidence{{Kind: quarantine.Answered, Service: "llm", Parts: []string{"sound"}}})
		for range 500 {
			time.Sleep(time.Second)
			left -= time.Second
			d.Advance()
			d.Record(inQuarantine())
			if lists, _ := d.PartLists(); len(lists.Quarantined) > 0 {
				t.Fatalf("got %v in quarantine, want none", lists.Quarantined)
			}
		}
	})
}
