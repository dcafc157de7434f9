package telemetry

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

func serveAdmin(t *testing.T, a *Admin, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	mux := http.NewServeMux()
	a.Register(mux)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func TestMetricsByTeamAndClass(t *testing.T) {
	m := NewMetrics("entry", "entry-1", hclog.NewNullLogger())
	r := NewRequests(m.Scope)
	r.Class("desk", "quote").FirstToken.RecordDuration(30 * time.Millisecond)
	r.Class("desk", "quote").Refused("overloaded")
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	text := serveAdmin(t, &Admin{Metrics: m}, http.MethodGet, "/metrics", "").Body.String()
	for _, want := range []string{
		`lagoonshift_request_first_token_bucket{class="quote",process="entry-1",role="entry",team="desk",le="0.05"} 1`,
		`lagoonshift_request_refused{class="quote",kind="overloaded"`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics do not contain %s:\n%s", want, text)
		}
	}
}

func TestCustomersAreBounded(t *testing.T) {
	m := NewMetrics("entry", "entry-1", hclog.NewNullLogger())
	r := NewRequests(m.Scope)
	for i := range maxCustomers + 10 {
		r.Customer(fmt.Sprint("customer-", i))
	}
	if got := r.customerCount.Load(); got != maxCustomers+1 {
		t.Errorf("customer series = %d, want %d", got, maxCustomers+1)
	}
}

// TestWorkspacesAreBounded guards against memory that grows with the number of workspaces: an
// entry has 144 MB, of which the series of all workspaces together may take a few.
func TestWorkspacesAreBounded(t *testing.T) {
	m := NewMetrics("entry", "entry-1", hclog.NewNullLogger())
	r := NewRequests(m.Scope)
	const workspaces = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 2 {
		for i := range workspaces {
			s := r.Workspace(fmt.Sprint("workspace-", i))
			s.Requests.Inc(1)
			s.FirstToken.RecordDuration(30 * time.Millisecond)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) >> 10
	t.Logf("the series take %d KiB", held)
	if held > 8<<10 {
		t.Errorf("the series of %d workspaces take %d KiB", workspaces, held)
	}
	if r.workspaceCount != maxWorkspaces+1 {
		t.Errorf("got %d series, want %d", r.workspaceCount, maxWorkspaces+1)
	}
	r.Workspace("").Requests.Inc(1)
	r.Workspace("workspace-9999").Refused.Inc(1)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	text := serveAdmin(t, &Admin{Metrics: m}, http.MethodGet, "/metrics", "").Body.String()
	for _, want := range []string{
		`lagoonshift_workspace_requests{process="entry-1",role="entry",workspace="workspace-0"} 2`,
		fmt.Sprintf(`lagoonshift_workspace_requests{process="entry-1",role="entry",workspace="other"} %d`, 2*(workspaces-maxWorkspaces)),
		`lagoonshift_workspace_refused{process="entry-1",role="entry",workspace="other"} 1`,
		`lagoonshift_workspace_first_token_bucket{process="entry-1",role="entry",workspace="workspace-1",le="0.05"} 2`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics do not contain %s", want)
		}
	}
	if strings.Contains(text, `workspace=""`) {
		t.Error("requests without a workspace have a series")
	}
}

func TestLogLevelChangesWhileRunning(t *testing.T) {
	a := &Admin{Metrics: NewMetrics("entry", "e", hclog.NewNullLogger()), Log: NewLogger("e", "info", false)}
	if code := serveAdmin(t, a, http.MethodPut, "/v1/log-level", "loud").Code; code != http.StatusBadRequest {
		t.Errorf("status for an unknown log level = %d, want 400", code)
	}
	serveAdmin(t, a, http.MethodPut, "/v1/log-level", "debug\n")
	if !a.Log.IsDebug() {
		t.Error("log level was not changed to debug")
	}
}

func TestReadiness(t *testing.T) {
	a := &Admin{Metrics: NewMetrics("entry", "e", hclog.NewNullLogger()), Ready: func() error { return errors.New("no lease") }}
	if code := serveAdmin(t, a, http.MethodGet, "/readyz", "").Code; code != http.StatusServiceUnavailable {
		t.Errorf("status of /readyz = %d, want 503", code)
	}
}
