package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

// loseServers has servers end one after the other, at which one request with a part waits among others, and returns
// what is in quarantine while others are answered.
func loseServers(apart time.Duration) []quarantine.Quarantined {
	const servers, waiting, sessions = 12, 10, 23
	d := quarantine.NewDetector(clock.NewRuntime(), hclog.NewNullLogger())
	time.Sleep(20 * time.Second)
	var crashes []quarantine.Evidence
	for s := range servers {
		for q := range waiting {
			parts := []string{"route", fmt.Sprint("session", (s*7+q*3)%sessions)}
			if q == 0 {
				parts[1] = "slow"
			}
			id := fmt.Sprint("r", s, "-", q)
			crashes = append(crashes, quarantine.Evidence{
				Kind: quarantine.Crash, Service: "llm", Engine: fmt.Sprint("e", s), Request: id, Parts: parts,
				Fingerprint: quarantine.Fingerprint{Content: id, Caller: id}, Age: 2*time.Second + time.Duration(s)*apart,
			})
		}
	}
	d.Record(crashes)
	for step := range 40 {
		time.Sleep(50 * time.Millisecond)
		d.Record([]quarantine.Evidence{
			{Kind: quarantine.Answered, Service: "llm"},
			{Kind: quarantine.Answered, Service: "llm", Parts: []string{"route"}},
			{Kind: quarantine.Answered, Service: "llm", Parts: []string{fmt.Sprint("session", step%sessions)}},
		})
		d.Advance()
		if lists, _ := d.PartLists(); len(lists.Quarantined) > 0 {
			return lists.Quarantined
		}
	}
	return nil
}

// TestServersLostTogetherBlameNoSlowPart guards against a sound part that one request waits with at each of several servers that end within a second.
func TestServersLostTogetherBlameNoSlowPart(t *testing.T) {
	for _, apart := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			if got := loseServers(apart); len(got) > 0 {
				t.Errorf("crashes %v apart: %v in quarantine, want none", apart, got)
			}
		})
	}
}

// TestServersLostInTurnBlameNoSlowPart guards against the same where the crashes count as separate ones.
func TestServersLostInTurnBlameNoSlowPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if got := loseServers(100 * time.Millisecond); len(got) > 0 {
			t.Errorf("%v in quarantine, want none", got)
		}
	})
}
