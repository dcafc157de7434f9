package callerhttp

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeoldsystem"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeservice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// migration is an entry next to an old system that uses the same booking
// service.
type migration struct {
	entry        *testEntry
	oldSystemURL string
}

// newMigration starts an entry and a fake old system. losesClaims makes the old
// system lose the keys that the entry has claimed.
func newMigration(t *testing.T, losesClaims bool) *migration {
	t.Helper()
	var handler http.Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	t.Cleanup(server.Close)
	s := &migration{oldSystemURL: server.URL}
	var service string
	s.entry = newTestEntry(t, 1, func(c *settings.Configuration) {
		c.System.OldSystem = []string{server.URL}
		service = c.Services["booking"].Backends["booking-1"].URL
	})
	handler = fakeoldsystem.New(fakeoldsystem.Options{
		Services:    map[string]string{"booking": service},
		Lagoonshift: []string{s.entry.url},
		LosesClaims: losesClaims,
	}).Handler()
	return s
}

// book sends a booking with an idempotency key to one of the systems and returns
// the answer and its status.
func (s *migration) book(t *testing.T, base, id string) (string, int) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/services/booking/collections", strings.NewReader("{}"))
	if err != nil {
		t.Error(err)
		return "", 0
	}
	request.Header.Set(HeaderIdempotencyKey, id)
	request.Header.Set(HeaderCustomer, "south")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return "", 0
	}
	defer response.Body.Close()
	return read(t, response), response.StatusCode
}

// countDoubledKeys lets concurrent callers repeat keys at either system at
// random, as happens while traffic is shifted between the systems in both
// directions. It returns the number of keys that were executed more than once.
func (s *migration) countDoubledKeys(t *testing.T, seed uint64) (doubled int) {
	const callers, keys, repeats = 8, 6, 12
	var group errgroup.Group
	answers := make([]map[string]string, callers)
	for caller := range callers {
		group.Go(func() error {
			r := rand.New(rand.NewPCG(seed, uint64(caller)))
			answers[caller] = make(map[string]string)
			for range repeats {
				id := fmt.Sprintf("van-%d", r.IntN(keys))
				base := [2]string{s.oldSystemURL, s.entry.url}[r.IntN(2)]
				if body, status := s.book(t, base, id); status == http.StatusOK {
					answers[caller][id] += body
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	runs := make(map[string]int)
	for _, e := range s.entry.service.Executions() {
		runs[e.IdempotencyKey]++
		if runs[e.IdempotencyKey] == 2 {
			doubled++
		}
	}
	for _, list := range answers {
		for id, all := range list {
			if one, _, _ := strings.Cut(all, "\n"); doubled == 0 && strings.Count(all, one+"\n")*len(one+"\n") != len(all) {
				t.Errorf("key %s: got different answers, want the same answer each time: %s", id, all)
			}
		}
	}
	return doubled
}

// TestKeyRunsOnceAcrossBothSystems checks that a key is executed at most once
// although callers repeat it at both systems at the same time.
func TestKeyRunsOnceAcrossBothSystems(t *testing.T) {
	for seed := range uint64(5) {
		if doubled := newMigration(t, false).countDoubledKeys(t, seed); doubled > 0 {
			t.Errorf("seed %d: %d keys were executed more than once, want 0", seed, doubled)
		}
	}
}

// TestLostClaimsAreDetected checks that countDoubledKeys finds the fault it looks
// for: with an old system that loses claims, at least one seed must execute a
// key twice.
func TestLostClaimsAreDetected(t *testing.T) {
	for seed := range uint64(5) {
		if newMigration(t, true).countDoubledKeys(t, seed) > 0 {
			return
		}
	}
	t.Error("no key was executed twice with an old system that loses claims, want at least one")
}

// TestUnreachableOldSystemRefuses checks that a call is not executed while it is
// unknown whether the old system has already taken its key.
func TestUnreachableOldSystemRefuses(t *testing.T) {
	r := newTestEntry(t, 1, func(c *settings.Configuration) { c.System.OldSystem = []string{"http://127.0.0.1:1"} })
	response := r.post(t, t.Context(), "/v1/services/booking/collections", "{}", HeaderIdempotencyKey, "van-1")
	wantProblem(t, response, refusal.Unavailable, refusal.ExecutedUnknown)
	if n := len(r.service.Executions()); n != 0 {
		t.Errorf("the service executed %d calls, want 0", n)
	}
}

// TestKeyRunningAtOldSystemIsNotRunAgain checks that a call which the old system
// is still executing is not executed by the entry, and that its caller gets the
// old system's answer.
func TestKeyRunningAtOldSystemIsNotRunAgain(t *testing.T) {
	s := newMigration(t, false)
	s.entry.service.SetFaults(fakeservice.Faults{Late: 50 * time.Millisecond})
	var first string
	var group errgroup.Group
	group.Go(func() error {
		first, _ = s.book(t, s.oldSystemURL, "van-1")
		return nil
	})
	for len(s.entry.service.Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	again, status := s.book(t, s.entry.url, "van-1")
	_ = group.Wait()
	if status != http.StatusOK || again != first {
		t.Errorf("got %s with status %d, want %s", again, status, first)
	}
}
