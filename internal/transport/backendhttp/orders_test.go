package backendhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/guard"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

func newOrderClient(t *testing.T) *OrderClient {
	t.Helper()
	kernel, err := guard.NewKernelTimer()
	if err != nil {
		t.Fatal(err)
	}
	return NewOrderClient(kernel)
}

func TestOrderIsSentOnlyWithinAuthority(t *testing.T) {
	engine := fakeengine.NewOrders(fakeengine.OrderOptions{
		Role:        settings.RoleMixed,
		ChangeTime:  time.Hour,
		Incarnation: func() string { return "run-1" },
	})
	mux := http.NewServeMux()
	engine.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := newOrderClient(t)
	order := backend.OrderRequest{ID: "o1", Fence: 7, Kind: "role", Role: settings.RolePrefill}
	now := clock.Boot{}.Now()

	if _, err := client.Order(t.Context(), server.URL, now, order); !errors.Is(err, reconcile.ErrUnsent) || !errors.Is(err, guard.ErrLapsed) {
		t.Fatalf("order after the end of authority: error %v, want ErrUnsent and ErrLapsed", err)
	}
	answer, err := client.Order(t.Context(), server.URL, now.Add(time.Hour), order)
	if err != nil || answer.Status != backend.OrderAccepted || answer.ID != "o1" {
		t.Fatalf("order within authority: answer %+v, error %v, want order o1 accepted", answer, err)
	}
	state, err := client.State(t.Context(), server.URL)
	if err != nil || !state.Changing || state.Incarnation != "run-1" {
		t.Fatalf("state %+v, error %v, want incarnation run-1 and changing", state, err)
	}
	if arrivals := engine.Record().Arrivals; len(arrivals) != 1 {
		t.Fatalf("%d orders arrived, want 1", len(arrivals))
	}
}

func TestOrderIsNeitherRedirectedNorRepeated(t *testing.T) {
	var arrived atomic.Int32
	faults := map[string]http.HandlerFunc{
		"redirect": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/v1/orders")
			w.WriteHeader(307)
		},
		"aborted connection": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"garbage":            func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
	}
	for name, fault := range faults {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			fault(w, r)
		}))
		arrived.Store(0)
		until := clock.Boot{}.Now().Add(time.Hour)
		_, err := newOrderClient(t).Order(t.Context(), server.URL, until, backend.OrderRequest{ID: "o1"})
		server.Close()
		if err == nil || errors.Is(err, reconcile.ErrUnsent) {
			t.Errorf("%s: error %v, want one that does not match ErrUnsent", name, err)
		}
		if n := arrived.Load(); n != 1 {
			t.Errorf("%s: order arrived %d times, want 1", name, n)
		}
	}
}
