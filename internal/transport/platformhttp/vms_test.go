package platformhttp_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

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
		got, err := platformhttp.New(server.URL, hclog.NewNullLogger()).VMs(t.Context())
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
		if got, err := platformhttp.New(server.URL, hclog.NewNullLogger()).VMs(t.Context()); err == nil {
			t.Errorf("VMs = %v, want an error", got)
		}
		server.Close()
	}
}

// TestOddVMHidesNoOther guards against a list of VMs of which one entry makes all
// others unreadable.
func TestOddVMHidesNoOther(t *testing.T) {
	leaving := func(address string) string {
		return fmt.Sprintf(`{"address":%q,"incarnation":7,"state":"leaving"}`, address)
	}
	for name, odd := range map[string]string{
		"negative incarnation":      `{"address":"10.0.0.9","incarnation":-1,"state":"leaving"}`,
		"incarnation above uint64":  `{"address":"10.0.0.9","incarnation":99999999999999999999,"state":"leaving"}`,
		"incarnation as text":       `{"address":"10.0.0.9","incarnation":"7","state":"leaving"}`,
		"address of another type":   `{"address":9,"incarnation":7,"state":"leaving"}`,
		"address that is no IP":     leaving("vm/9"),
		"long address":              leaving(strings.Repeat("9", 1<<20)),
		"unknown field of any type": `{"x":` + strings.Repeat("[", 1e5) + strings.Repeat("]", 1e5) + `}`,
		"control character":         "{\"address\":\"\x01\"}",
		"no UTF-8":                  leaving("10.0.0.9")[:1] + "\"x\":\"\xff\"," + leaving("10.0.0.9")[1:],
		"quote missing":             `{"address":"10.0.0.9}`,
		"null":                      "null",
		"number":                    "1e400",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, `{"vms":[%s,%s,%s]}`, leaving("10.0.0.1"), odd, leaving("10.0.0.2")) // the reader may have left
			}))
			t.Cleanup(server.Close)
			got, err := platformhttp.New(server.URL, hclog.NewNullLogger()).VMs(t.Context())
			want := []member.Observation{{Address: "10.0.0.1", Incarnation: 7, Leaving: true}, {Address: "10.0.0.2", Incarnation: 7, Leaving: true}}
			if err != nil || !slices.Equal(got, want) {
				t.Errorf("got %.200v, error %.200v, want %v", got, err, want)
			}
		})
	}
}
