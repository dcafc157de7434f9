package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const quoteBody = `{"prompt": "reseat", "max_tokens": 5}`

// post sends a request of the team "desk" and the class "quote". headers holds
// pairs of header names and values.
func (r *testEntry) post(t *testing.T, ctx context.Context, path, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderTeam, "desk")
	request.Header.Set(HeaderClass, "quote")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func read(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func wantProblem(t *testing.T, response *http.Response, kind refusal.Kind, executed refusal.Executed) {
	t.Helper()
	var p Problem
	if err := json.Unmarshal([]byte(read(t, response)), &p); err != nil {
		t.Fatal(err)
	}
	if p.Title != string(kind) || p.Executed != executed || p.Status != response.StatusCode {
		t.Errorf("problem is %+v with status %d, want %s with executed %s", p, response.StatusCode, kind, executed)
	}
	if p.RetryAfter > 0 && response.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After header")
	}
}

func TestStreamIsCompleteAndResumable(t *testing.T) {
	r := newTestEntry(t, 2, nil)
	whole := read(t, r.post(t, t.Context(), "/v1/completions", quoteBody))
	for offset := range 5 {
		if !strings.Contains(whole, fakeengine.Token("reseat", offset)) {
			t.Errorf("token %d is missing in %s", offset, whole)
		}
	}
	rest := read(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderLastEventID, "2"))
	if strings.Contains(rest, `"offset":2`) || !strings.Contains(rest, `"offset":3`) {
		t.Errorf("resumed after event 2: %s", rest)
	}
	_, end, _ := strings.Cut(whole, `"tokens":5`)
	if end == "" || !strings.HasSuffix(rest, end) {
		t.Errorf("last events differ: %s and %s", whole, rest)
	}
}

func TestCrashMovesStream(t *testing.T) {
	r := newTestEntry(t, 2, nil)
	r.engines[0].SetFaults(fakeengine.Faults{CrashAfter: 2})
	body := read(t, r.post(t, t.Context(), "/v1/completions", quoteBody))
	if strings.Count(body, "event: token") != 5 || !strings.Contains(body, "event: done") {
		t.Errorf("answer is %s", body)
	}
}

func TestDrainMovesStream(t *testing.T) {
	r := newTestEntry(t, 2, nil)
	response := r.post(t, t.Context(), "/v1/completions", `{"prompt": "reseat", "max_tokens": 200}`)
	if _, err := io.ReadFull(response.Body, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	r.engines[0].SetFaults(fakeengine.Faults{Draining: true, Move: true})
	if body := read(t, response); !strings.Contains(body, "event: done") {
		t.Errorf("answer ends with %s", body[max(0, len(body)-200):])
	}
}

func TestCorruptAnswerEndsInError(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	r.engines[0].SetFaults(fakeengine.Faults{CorruptAt: 3})
	body := read(t, r.post(t, t.Context(), "/v1/completions", quoteBody))
	if strings.Contains(body, "event: done") || !strings.Contains(body, "event: error") {
		t.Errorf("answer is %s", body)
	}
}

func TestDisconnectReachesEngine(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	ctx, cancel := context.WithCancel(t.Context())
	response := r.post(t, ctx, "/v1/completions", `{"prompt": "reseat", "max_tokens": 1000000}`)
	if _, err := io.ReadFull(response.Body, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	cancel()
	for r.engines[0].Running() > 0 {
		if t.Context().Err() != nil {
			t.Fatal("the engine is still running")
		}
		time.Sleep(time.Millisecond)
	}
	if r.engines[0].Cancelled() != 1 {
		t.Error("the engine did not see the request cancelled")
	}
}

func TestRefusals(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	large := `{"prompt": "` + strings.Repeat("x", maxBodyBytes) + `"}`
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", large), refusal.Invalid, refusal.ExecutedNo)
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderClass, "other"), refusal.Invalid, refusal.ExecutedNo)
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderTimeout, "soon"), refusal.Invalid, refusal.ExecutedNo)
	wantProblem(t, r.post(t, t.Context(), "/v1/services/booking/collections", "{}"), refusal.Invalid, refusal.ExecutedNo)
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderTimeout, "1ns"), refusal.DeadlinePassed, refusal.ExecutedNo)
}

// TestNoLeaseRefusesNewWork checks the refusals of an entry without a lease. It
// can't know whether another entry executed a booking or an earlier part of a
// resumed completion.
func TestNoLeaseRefusesNewWork(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	r.url, r.holder = "", nil
	r.startWithoutLease(t)
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody), refusal.NoLease, refusal.ExecutedNo)
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderLastEventID, "1"), refusal.NoLease, refusal.ExecutedUnknown)
	wantProblem(t, r.post(t, t.Context(), "/v1/services/booking/collections", "{}", HeaderIdempotencyKey, "van-1"), refusal.NoLease, refusal.ExecutedUnknown)
	addresses, err := http.Get(r.url + "/v1/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer addresses.Body.Close()
	wantProblem(t, addresses, refusal.NoLease, refusal.ExecutedNo)
}

func TestCustomerLimit(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	first := r.post(t, t.Context(), "/v1/completions", `{"prompt": "reseat", "max_tokens": 1000000}`, HeaderCustomer, "north")
	if _, err := io.ReadFull(first.Body, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	wantProblem(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderCustomer, "north"), refusal.Limited, refusal.ExecutedNo)
	if body := read(t, r.post(t, t.Context(), "/v1/completions", quoteBody, HeaderCustomer, "south")); !strings.Contains(body, "event: done") {
		t.Errorf("another customer got %s", body)
	}
}

func TestBookingRunsOnce(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	const path = "/v1/services/booking/collections"
	first := read(t, r.post(t, t.Context(), path, `{"day": 1}`, HeaderIdempotencyKey, "van-1"))
	again := r.post(t, t.Context(), path, `{"day": 1}`, HeaderIdempotencyKey, "van-1")
	if got := read(t, again); got != first || again.Header.Get(HeaderRepeated) != "true" {
		t.Errorf("repeat got %s with headers %v, want %s", got, again.Header, first)
	}
	wantProblem(t, r.post(t, t.Context(), path, `{"day": 2}`, HeaderIdempotencyKey, "van-1"), refusal.KeyReused, refusal.ExecutedUnknown)
	if n := len(r.service.Executions()); n != 1 {
		t.Errorf("the service executed %d calls, want 1", n)
	}
}

func TestGetIsForIdempotentCalls(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	for path, want := range map[string]int{"stock?day=1": http.StatusOK, "collections": http.StatusBadRequest} {
		response, err := http.Get(r.url + "/v1/services/booking/" + path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("GET %s: status %d, want %d", path, response.StatusCode, want)
		}
	}
	if runs := r.service.Executions(); len(runs) != 1 || runs[0].Path != "/stock" {
		t.Errorf("the service executed %+v, want one call of /stock", runs)
	}
}

// TestLargeBodiesAreBoundedTogether checks that a body which would exceed the
// total limit is refused, and that released bodies no longer count.
func TestLargeBodiesAreBoundedTogether(t *testing.T) {
	b := &bodyLimiter{limit: 100}
	read := func(size int) (func(), error) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		_, release, err := b.read(httptest.NewRecorder(), r, refusal.ExecutedNo)
		return release, err
	}
	release, err := read(60)
	if err != nil {
		t.Fatal(err)
	}
	var refused *refusal.Error
	if _, err := read(60); !errors.As(err, &refused) || refused.Kind != refusal.Overloaded {
		t.Errorf("error is %v, want a refusal of kind overloaded", err)
	}
	release()
	if _, err := read(60); err != nil || b.held.Load() != 60 {
		t.Errorf("after release: error %v and %d bytes held, want no error and 60 bytes", err, b.held.Load())
	}
}

// deadlineCounter is a response writer that counts the write deadlines set on it.
type deadlineCounter struct {
	httptest.ResponseRecorder
	deadlines int
}

// SetWriteDeadline counts a deadline; http.ResponseController calls it.
func (b *deadlineCounter) SetWriteDeadline(time.Time) error {
	b.deadlines++
	return nil
}

// TestWritesHaveADeadline checks that writes to a caller have a deadline, so that
// a caller that does not read can't block them forever, and that the deadline is
// not updated for each token.
func TestWritesHaveADeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &deadlineCounter{ResponseRecorder: *httptest.NewRecorder()}
		s := newSink(w)
		for range 300 {
			if err := s.Token(&backend.Event{Data: []byte("{}")}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if w.deadlines < 2 || w.deadlines > 4 {
			t.Errorf("%d deadlines were set in 3 s, want 2 to 4", w.deadlines)
		}
	})
}

func TestAddresses(t *testing.T) {
	all := 1.0
	r := newTestEntry(t, 1, func(c *settings.Configuration) {
		c.System.OldSystem = []string{"http://old"}
		c.Teams["desk"].Customers["moved"] = settings.Customer{OldSystemShare: &all}
	})
	r.members = members{
		{Name: "one", Zone: "b", CallerAddress: "1", State: member.Live},
		{Name: "two", Zone: "a", CallerAddress: "2", State: member.Live},
		{Name: "three", Zone: "a", CallerAddress: "3", State: member.Leaving},
	}
	if got := r.addresses(t, ""); got != "2 1" {
		t.Errorf("addresses are %s, want 2 1", got)
	}
	if got := r.addresses(t, "moved"); got != "http://old" {
		t.Errorf("addresses of a customer of the old system are %s, want http://old", got)
	}
}

func (r *testEntry) addresses(t *testing.T, customer string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, r.url+"/v1/addresses", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderTeam, "desk")
	request.Header.Set(HeaderCustomer, customer)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer AddressAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return strings.Join(answer.Addresses, " ")
}

// TestLeavingClosesConnections checks that an entry that is leaving asks its
// callers to close their connections and still answers.
func TestLeavingClosesConnections(t *testing.T) {
	r := newTestEntry(t, 1, nil)
	close(r.leaving)
	response := r.post(t, t.Context(), "/v1/completions", quoteBody)
	if !response.Close || !bytes.Contains([]byte(read(t, response)), []byte("event: done")) {
		t.Error("a leaving entry did not ask to close the connection or did not answer completely")
	}
}
