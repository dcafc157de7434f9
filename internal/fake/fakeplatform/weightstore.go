package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// WeightStore is a fake of the rate-limited weight store. It records when the
// total rate of the active transfers exceeds its limit. It is safe for concurrent
// use.
type WeightStore struct {
	// rate is the limit of the total rate in bytes per second; size is the size
	// of each set of weights in bytes.
	rate int64
	size int64

	mu     sync.Mutex // guards the fields below
	active int64
	usage  WeightUsage
}

// WeightUsage is the usage that a weight store recorded.
type WeightUsage struct {
	// Peak is the highest total rate of concurrent transfers, in bytes per
	// second.
	Peak int64 `json:"peak"`
	// Transfers is the number of transfers by engine.
	Transfers map[string]int `json:"transfers"`
	// Violations describes each transfer that exceeded the limit.
	Violations []string `json:"violations"`
}

// NewWeightStore returns a store with the given limit of the total rate in bytes
// per second. All weights have the given size in bytes.
func NewWeightStore(rate, size int64) *WeightStore {
	return &WeightStore{rate: rate, size: size, usage: WeightUsage{Transfers: make(map[string]int)}}
}

// Begin starts a transfer at the given rate in bytes per second. The caller must
// call end exactly once.
func (s *WeightStore) Begin(engine string, rate int64) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += rate
	s.usage.Peak = max(s.usage.Peak, s.active)
	s.usage.Transfers[engine]++
	if s.active > s.rate {
		s.usage.Violations = append(s.usage.Violations, fmt.Sprintf("%s at rate %d makes %d", engine, rate, s.active))
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active -= rate
	}
}

// Usage returns a copy of the usage recorded so far.
func (s *WeightStore) Usage() WeightUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := s.usage
	usage.Transfers = make(map[string]int, len(s.usage.Transfers))
	for engine, n := range s.usage.Transfers {
		usage.Transfers[engine] = n
	}
	usage.Violations = append([]string{}, s.usage.Violations...)
	return usage
}

// Register adds the store's HTTP interface to mux.
func (s *WeightStore) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/weights/{kind}/{name}/{version}", s.transfer)
	mux.HandleFunc("GET /v1/weights/usage", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Usage())
	})
}

// transfer answers after the time that the weights take at the rate that the
// engine asks for, or when the engine disconnects. It sends no data.
func (s *WeightStore) transfer(w http.ResponseWriter, r *http.Request) {
	rate, err := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
	if err != nil || rate <= 0 {
		http.Error(w, "rate: expected bytes per second", http.StatusBadRequest)
		return
	}
	defer s.Begin(r.URL.Query().Get("engine"), rate)()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(float64(s.size) / float64(rate) * float64(time.Second))):
	}
}
