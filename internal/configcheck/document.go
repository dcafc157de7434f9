package configcheck

import (
	"fmt"
	"net"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/workspace"
)

// Document is a decoded document, in the order of its items. It need not be valid.
type Document struct {
	Version  uint64
	Routes   []route.Route
	Services []route.Service
	Limits   route.Limits
	// HasWorkspaces is set if the document has a list of workspaces, also if it is empty.
	HasWorkspaces bool
	Workspaces    []workspace.Definition
}

// Options sets what a check can't learn from a document.
type Options struct {
	// RetryBudget is the number of retries that a service may have for each request;
	// negative if it is unknown, and attempts are then not compared with it.
	RetryBudget float64
}

// CheckDocument returns the errors and warnings about a document.
func CheckDocument(d *Document, o Options) []Result {
	c := &documentCheck{Document: d, options: o}
	c.routes()
	c.services()
	c.limits()
	c.workspaces()
	return c.results
}

type documentCheck struct {
	*Document
	options Options
	results []Result
}

func (c *documentCheck) add(severity Severity, place Place, format string, args ...any) {
	c.results = append(c.results, Result{Severity: severity, Place: place, Message: fmt.Sprintf(format, args...)})
}

func (c *documentCheck) warn(place Place, format string, args ...any) {
	c.add(Warning, place, format, args...)
}

func (c *documentCheck) routes() {
	prefixes, names := make(map[string]int), make(map[string]int)
	known := make(map[string]bool)
	for _, s := range c.Services {
		known[s.Name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := routeKey(r)
		if first, ok := prefixes[key]; ok {
			c.add(Error, at(Routes, i, Prefix), "never matches: route %d (%q) has the same host and prefix", first, c.Routes[first].Name)
		} else {
			prefixes[key] = i
		}
		if first, ok := names[r.Name]; ok {
			c.warn(at(Routes, i, Name), "route %d has the same name; metrics don't distinguish them", first)
		} else {
			names[r.Name] = i
		}
		c.match(i, r)
		c.shares(i, r, known)
		c.contradictions(i, r)
	}
}

// routeKey identifies a route: hosts are compared without regard to case.
func routeKey(r *route.Route) string {
	return strings.ToLower(r.Host) + r.Prefix
}

// match warns of a route that no request can match. Requests are matched by their host
// without the port and by their path as sent, without the query.
func (c *documentCheck) match(i int, r *route.Route) {
	_, _, portErr := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		c.warn(at(Routes, i, Host), "matches only requests without a host")
	case strings.ContainsAny(r.Host, "/ \t\r\n"):
		c.warn(at(Routes, i, Host), "never matches: a request's host has no slash and no blank")
	case portErr == nil:
		c.warn(at(Routes, i, Host), "never matches: requests are matched by their host without the port")
	}
	if strings.ContainsAny(r.Prefix, "? \t\r\n") {
		c.warn(at(Routes, i, Prefix), "never matches: a request's path has no question mark and no blank")
	}
}

func (c *documentCheck) shares(i int, r *route.Route, known map[string]bool) {
	total := 0
	seen := make(map[string]bool, len(r.Shares))
	for n, s := range r.Shares {
		place := Place{Section: Routes, Index: i, Field: Shares, Item: n}
		switch {
		case !known[s.Service]:
			c.add(Error, place, "unknown service %q", s.Service)
		case s.Weight < 0:
			c.add(Error, place, "the weight of service %q is negative", s.Service)
		case s.Weight == 0:
			c.warn(place, "service %q never gets a request: its weight is 0", s.Service)
		case seen[s.Service]:
			c.warn(place, "service %q is given more than once; its weights add up", s.Service)
		}
		seen[s.Service] = true
		total += max(0, s.Weight)
	}
	if total == 0 {
		c.add(Error, at(Routes, i, Shares), "the weights add up to zero")
	}
}

// contradictions warns of values of a route that contradict each other.
func (c *documentCheck) contradictions(i int, r *route.Route) {
	if r.Objective > r.Timeout {
		c.warn(at(Routes, i, Timeout), "the timeout of %s is shorter than the latency objective of %s", r.Timeout, r.Objective)
	}
	if r.EventGap > r.Timeout {
		c.warn(at(Routes, i, Timeout), "the timeout of %s is shorter than the objective of %s between two events", r.Timeout, r.EventGap)
	}
	if r.Objective < 0 {
		c.warn(at(Routes, i, Objective), "the latency objective is negative")
	}
	if r.EventGap < 0 {
		c.warn(at(Routes, i, EventGap), "the objective between two events is negative")
	}
	if r.Kind != route.Streaming && r.Resumable {
		c.warn(at(Routes, i, Resumable), "has no effect: the route isn't streaming")
	}
	if r.Kind != route.Streaming && r.EventGap > 0 {
		c.warn(at(Routes, i, EventGap), "has no effect: the route isn't streaming")
	}
	if r.MaxAttempts == 0 {
		c.warn(at(Routes, i, Attempts), "0 attempts count as 1")
	}
	if extra := r.MaxAttempts - 1; c.options.RetryBudget >= 0 && float64(extra) > c.options.RetryBudget {
		c.warn(at(Routes, i, Attempts), "a request may need %d retries, the retry budget has %g for each request", extra, c.options.RetryBudget)
	}
}

func (c *documentCheck) services() {
	used := make(map[string]bool)
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	last := make(map[string]int, len(c.Services))
	for i, s := range c.Services {
		last[s.Name] = i
	}
	for i := range c.Services {
		s := &c.Services[i]
		switch {
		case s.Name == "":
			c.add(Error, at(Services, i, Name), "the service has no name")
		case last[s.Name] != i:
			c.warn(at(Services, i, Name), "has no effect: service %d has the same name and replaces it", last[s.Name])
		case !used[s.Name]:
			c.warn(at(Services, i, Whole), "service %q gets no requests: no route names it with a weight above 0", s.Name)
		}
		c.service(i, s)
	}
}

// service warns of values of a service that contradict each other.
func (c *documentCheck) service(i int, s *route.Service) {
	if s.MaxConns < 0 {
		c.warn(at(Services, i, MaxConns), "the number of connections is negative")
	}
	if e := s.Engine; e != nil && s.MaxConns > 0 && e.Slots > s.MaxConns {
		c.warn(at(Services, i, Slots), "%d slots can't be used with %d connections", e.Slots, s.MaxConns)
	}
	scaling := s.Scaling
	if scaling == nil {
		return
	}
	if scaling.Min > scaling.Max {
		c.warn(at(Services, i, ScalingMin), "the minimum of %d is above the maximum of %d", scaling.Min, scaling.Max)
	}
	if scaling.Min < 0 {
		c.warn(at(Services, i, ScalingMin), "the minimum is negative")
	}
	if scaling.Max <= 0 {
		c.warn(at(Services, i, ScalingMax), "no server can be ordered: the maximum is %d", scaling.Max)
	}
	if len(scaling.ZonePrices) == 0 {
		c.warn(at(Services, i, Scaling), "no server can be ordered: there are no zones with prices")
	}
	for zone, price := range scaling.ZonePrices {
		if price < 0 {
			c.warn(at(Services, i, ZonePrices), "the price of zone %q is negative", zone)
		}
	}
	if scaling.ReclaimablePrice < 0 {
		c.warn(at(Services, i, ReclaimablePrice), "the price is negative")
	}
	if scaling.ReclaimablePrice >= 1 {
		c.warn(at(Services, i, ReclaimablePrice), "servers that may be reclaimed cost no less than the others")
	}
}

func (c *documentCheck) limits() {
	for _, l := range limitValues(c.Limits) {
		if strings.HasPrefix(l.text, "-") {
			c.warn(at(Limits, NoIndex, l.field), "the limit is negative")
		}
	}
}

func (c *documentCheck) workspaces() {
	if !c.HasWorkspaces {
		return
	}
	keys := 0
	for i, w := range c.Workspaces {
		keys += len(w.Keys)
		if len(w.Keys) == 0 {
			c.warn(at(Workspaces, i, Whole), "workspace %.64q can't be used: it has no key", w.Name)
		}
		seen := make(map[string]bool, len(w.Keys))
		for n, key := range w.Keys {
			if seen[key] {
				c.warn(Place{Section: Workspaces, Index: i, Field: Keys, Item: n}, "the workspace has this key already")
			}
			seen[key] = true
		}
	}
	if keys > 0 {
		return
	}
	for i := range c.Routes {
		if !c.Routes[i].Public {
			c.warn(at(Routes, i, Whole), "rejects all requests: the route isn't public and no workspace has a key")
		}
	}
}
