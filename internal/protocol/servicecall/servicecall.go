// Package servicecall runs calls to non-LLM backend services. A non-idempotent
// call is reserved in the idempotency ledger, sent at most once, and its
// outcome is committed before the caller is answered. An idempotent call is
// retried within a retry budget.
package servicecall

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// Call is a caller's request to a backend service.
type Call struct {
	Service     string
	Path        string
	Query       string
	Method      string
	ContentType string
	Customer    string
	// Key is the idempotency key; required for non-idempotent calls.
	Key  string
	Body []byte
}

// Answer is the response returned to the caller.
type Answer struct {
	backend.ServiceResponse
	// Repeated means that the answer comes from an earlier attempt with the
	// same key.
	Repeated bool
}

// Ledger commits commands to the replicated idempotency ledger. After an error
// the command may or may not have been committed; every command can safely be
// submitted again.
type Ledger interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Services sends calls to the backend servers of services.
type Services interface {
	// Call sends an idempotent call.
	Call(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error)
	// CallOnce sends a call at most once. An error matches
	// backend.ErrNotSent if no byte was sent.
	CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error)
	// Lookup asks a service for the outcome of an idempotency key; found is
	// false if the service does not know the key.
	Lookup(ctx context.Context, call backend.ServiceCall) (answer backend.ServiceResponse, found bool, err error)
}

// Gate is checked immediately before new work is sent to a backend server.
type Gate interface {
	// Check returns nil if work that was routed with the given settings
	// version may be sent now, lease.ErrSuperseded if it must be routed again
	// with newer settings and lease.ErrLapsed if this entry's lease has
	// expired.
	Check(version uint64) error
}

// Holders reports whether the entry process that made a reservation may still
// complete it.
type Holders interface {
	// Gone reports whether the given incarnation of an entry has ended.
	Gone(entry string, incarnation uint64) bool
}

// OldSystem is a client of the old serving system, which runs alongside this
// one during the migration. It owns the registry of idempotency keys that both
// systems share.
type OldSystem interface {
	// Claim claims a service's key for this system. It is idempotent for each
	// key. It reports false if the old system already owns the key.
	Claim(ctx context.Context, baseURLs []string, service string, call backend.ServiceCall) (bool, error)
	// Forward sends a call whose key the old system owns to the old system,
	// to get its answer.
	Forward(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceResponse, error)
}

// Options configures a Protocol.
type Options struct {
	// Entry is this entry's name, Incarnation identifies its process and Zone
	// is its availability zone.
	Entry       string
	Incarnation uint64
	Zone        string
	Clock       clock.Clock
	Settings    *atomic.Pointer[settings.Configuration]
	Gate        Gate
	Ledger      Ledger
	Services    Services
	// Holders may be nil; every entry process is then assumed to be running.
	Holders Holders
	// OldSystem may be nil if the settings name no old system.
	OldSystem OldSystem
	Outliers  *outlier.Set
	Budget    *retry.Budget
	// Random returns numbers in [0, 1), for jitter and for the order of
	// backend servers.
	Random retry.Random
	// NewAttempt returns a unique attempt ID; nil selects random IDs.
	NewAttempt func() string
}

// Protocol runs service calls. It is safe for concurrent use.
type Protocol struct {
	Options
	// running tracks attempts, which may outlive their callers.
	running        sync.WaitGroup
	activeAttempts atomic.Int64
}

// New returns a Protocol with the given options.
func New(o Options) *Protocol {
	if o.NewAttempt == nil {
		o.NewAttempt = rand.Text
	}
	return &Protocol{Options: o}
}

// Wait blocks until every attempt has finished or ctx is done.
func (p *Protocol) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Digest returns a SHA-256 digest of the call's method, path, query, content
// type and body.
func (c *Call) Digest() []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Path), []byte(c.Query), []byte(c.ContentType), c.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// backendCall returns the request that is sent to the server at baseURL.
func (c *Call) backendCall(baseURL, attempt string) backend.ServiceCall {
	url := baseURL + "/" + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	return backend.ServiceCall{
		URL:            url,
		Method:         c.Method,
		ContentType:    c.ContentType,
		Customer:       c.Customer,
		IdempotencyKey: c.Key,
		Attempt:        attempt,
		Body:           c.Body,
	}
}

// target is a candidate backend server for a call.
type target struct {
	name string
	url  string
	zone string
}

// selectTargets returns the backend servers for one call, in the order in which
// to try them, and the settings that were used. It returns an error if this
// entry may not send now.
func (p *Protocol) selectTargets(service string) ([]target, *settings.Configuration, error) {
	for {
		config := p.Settings.Load()
		targets := p.orderTargets(config, service)
		err := p.Gate.Check(config.Version)
		if !errors.Is(err, lease.ErrSuperseded) {
			return targets, config, err
		}
	}
}

// orderTargets returns the backend servers for one call: servers in this entry's
// zone before those in other zones, ejected outliers after all others, and
// otherwise in random order.
func (p *Protocol) orderTargets(config *settings.Configuration, service string) []target {
	var out []target
	for name, b := range config.Services[service].Backends {
		if !b.Drain && !config.ClosedToNewWork(b.URL) {
			out = append(out, target{name: name, url: b.URL, zone: b.Zone})
		}
	}
	slices.SortFunc(out, func(a, b target) int { return compare(a.name, b.name) })
	p.shuffle(out)
	ejected := p.Outliers.Ejected()
	slices.SortStableFunc(out, func(a, b target) int { return p.rank(a, ejected) - p.rank(b, ejected) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (p *Protocol) shuffle(list []target) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(p.Random() * float64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// Penalties that add up to a target's rank; the lowest rank is tried first.
const (
	rankOtherZone = 1
	rankEjected   = 2
)

func (p *Protocol) rank(t target, ejected []string) int {
	rank := 0
	if t.zone != p.Zone {
		rank += rankOtherZone
	}
	if slices.Contains(ejected, t.name) {
		rank += rankEjected
	}
	return rank
}
