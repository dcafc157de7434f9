// Package fakeplatform is a fake of the cloud platform for tests: a list of VMs
// that lags behind and flaps, and a rate-limited weight store.
package fakeplatform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/transport/platformhttp"
)

// Options configures a fake platform.
type Options struct {
	// Lag is the age of the list that callers see.
	Lag time.Duration
	// Flap is the probability, from 0 to 1, that an answer shows a changed VM
	// as it was before its latest visible change, so that a leaving VM may seem
	// to be back.
	Flap float64
	// Seed determines which answers flap.
	Seed uint64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// vmChange is one change of a VM.
type vmChange struct {
	at time.Time
	vm platformhttp.VM
}

// Platform is a fake platform. It is safe for concurrent use.
type Platform struct {
	options Options

	mu      sync.Mutex // guards the fields below
	changes map[string][]vmChange
	random  *rand.Rand
}

// New returns a platform without VMs.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Platform{
		options: o,
		changes: make(map[string][]vmChange),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

// Set adds or changes a VM. The list shows the change after the lag.
func (p *Platform) Set(vm platformhttp.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes[vm.Address] = append(p.changes[vm.Address], vmChange{at: p.options.Now(), vm: vm})
}

// List returns the list of VMs as a caller sees it now.
func (p *Platform) List() platformhttp.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := platformhttp.VMList{VMs: []platformhttp.VM{}}
	shown := p.options.Now().Add(-p.options.Lag)
	for _, changes := range p.changes {
		seen := slices.IndexFunc(changes, func(e vmChange) bool { return e.at.After(shown) })
		if seen < 0 {
			seen = len(changes)
		}
		if seen > 1 && p.random.Float64() < p.options.Flap {
			seen--
		}
		if seen > 0 {
			list.VMs = append(list.VMs, changes[seen-1].vm)
		}
	}
	return list
}

// Register adds the platform's HTTP interface to mux. PUT /v1/vms changes one
// VM and is for tests only.
func (p *Platform) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.List())
	})
	mux.HandleFunc("PUT /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm platformhttp.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, "decode VM: "+err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(vm)
	})
}
