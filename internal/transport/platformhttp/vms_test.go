package platformhttp_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeplatform"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/transport/platformhttp"
)

func TestVMs(t *testing.T) {
	now := time.UnixMilli(0)
	platform := fakeplatform.New(fakeplatform.Options{Lag: time.Second, Now: func() time.Time { return now }})
	mux := http.NewServeMux()
	platform.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	put := func(body string) {
		t.Helper()
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/v1/vms", bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	want := func(want ...member.Observation) {
		t.Helper()
		got, err := platformhttp.New(server.URL).VMs(t.Context())
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("VMs = %v, %v, want %v", got, err, want)
		}
	}
	put(`{"address": "10.0.0.1", "incarnation": 7, "state": "live"}`)
	// VMs in an unknown state or without an incarnation must be skipped.
	put(`{"address": "10.0.0.2", "incarnation": 7, "state": "resting"}`)
	put(`{"address": "10.0.0.3", "state": "leaving"}`)
	want()
	now = now.Add(time.Second)
	put(`{"address": "10.0.0.1", "incarnation": 7, "state": "leaving"}`)
	want(member.Observation{Address: "10.0.0.1", Incarnation: 7})
	now = now.Add(time.Second)
	want(member.Observation{Address: "10.0.0.1", Incarnation: 7, Leaving: true})
}

func TestVMsFailsOnInvalidResponse(t *testing.T) {
	for _, answer := range []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vms": [`)) },
	} {
		server := httptest.NewServer(answer)
		if got, err := platformhttp.New(server.URL).VMs(t.Context()); err == nil {
			t.Errorf("VMs = %v, want an error", got)
		}
		server.Close()
	}
}
