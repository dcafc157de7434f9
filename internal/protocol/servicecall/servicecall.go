// Package servicecall runs calls of plain services. A non-idempotent call is
// reserved in the ledger, sent at most once, and its outcome is committed
// before the caller is answered; an idempotent one is retried within a budget.
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
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// Call is a caller's call of a plain service.
type Call struct {
	Service     string
	Path        string
	Query       string
	Method      string
	ContentType string
	Customer    string
	// Key is the idempotency key; a non-idempotent call needs one.
	Key  string
	Body []byte
}

// Answer is what the caller gets.
type Answer struct {
	backend.ServiceAnswer
	// Repeated means that the answer was stored by an earlier attempt.
	Repeated bool
}

// Ledger commits ledger commands. After an error the command may have been
// committed; every command may be submitted again.
type Ledger interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Services sends calls to backend servers.
type Services interface {
	// Call sends a call that may be repeated.
	Call(ctx context.Context, call backend.ServiceCall) (backend.ServiceAnswer, error)
	// CallOnce sends a call at most once. An error matches
	// backend.ErrNotSent if no byte went out.
	CallOnce(ctx context.Context, call backend.ServiceCall) (backend.ServiceAnswer, error)
	// Lookup reads the outcome of a key; found is false if the service does
	// not know it.
	Lookup(ctx context.Context, call backend.ServiceCall) (answer backend.ServiceAnswer, found bool, err error)
}

// Gate is what new work passes right before it is sent to a backend server.
type Gate interface {
	// Check returns nil if work that was decided on the given settings
	// version may be sent now, lease.ErrSuperseded if it must be decided
	// again and lease.ErrLapsed if it may not be sent.
	Check(version uint64) error
}

// Holders tells which runs of entries may still finish what they reserved.
type Holders interface {
	// Gone reports that the given run of an entry has ended for good.
	Gone(entry string, incarnation uint64) bool
}

// OldSystem is the old serving system's key memory and its booking path.
type OldSystem interface {
	// Claim takes a service's key for this system. It is idempotent for one
	// key. It reports false if the old system has taken the key.
	Claim(ctx context.Context, baseURLs []string, service string, call backend.ServiceCall) (bool, error)
	// Forward sends a call that the old system has taken, to get its answer.
	Forward(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceAnswer, error)
}

// Options holds what a Protocol needs.
type Options struct {
	// Entry names this entry, Incarnation its run and Zone its zone.
	Entry       string
	Incarnation uint64
	Zone        string
	Clock       clock.Clock
	Settings    *atomic.Pointer[settings.Configuration]
	Gate        Gate
	Ledger      Ledger
	Services    Services
	// Holders may be nil; then every holder may still be running.
	Holders Holders
	// OldSystem may be nil if the settings name none.
	OldSystem OldSystem
	Outliers  *outlier.Set
	Budget    *retry.Budget
	// Random returns numbers for jitter.
	Random retry.Random
	// NewAttempt returns a unique attempt id; nil takes random ones.
	NewAttempt func() string
}

// Protocol runs service calls. It is safe for concurrent use.
type Protocol struct {
	Options
	// running counts attempts, which may outlive their callers.
	running        sync.WaitGroup
	activeAttempts atomic.Int64
}

// New returns a protocol.
func New(o Options) *Protocol {
	if o.NewAttempt == nil {
		o.NewAttempt = rand.Text
	}
	return &Protocol{Options: o}
}

// Wait returns when every attempt is finished, or ctx ended.
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

// Digest identifies a call's content: method, path, query, content type and
// body.
func (c *Call) Digest() []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Path), []byte(c.Query), []byte(c.ContentType), c.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// backendCall returns the call as it goes backendCall a backend server.
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

// target is a backend server that a call may go to.
type target struct {
	name string
	url  string
	zone string
}

// selectTargets returns the backend servers for one call in the order to try them,
// and the settings in force by which that was decided. It fails if this entry
// may not send now.
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

// orderTargets orders the backend servers for one call: own zone first, then at
// random; those that keep failing go last.
func (p *Protocol) orderTargets(config *settings.Configuration, service string) []target {
	var out []target
	for name, b := range config.Services[service].Backends {
		if !b.Drain && !config.Leaving(b.URL) {
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

// Ranks of targets: the lowest is tried first.
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
