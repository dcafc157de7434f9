package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/workspace"
)

// fieldValue is the text of a field, for comparison and for messages.
type fieldValue struct {
	field Field
	text  string
}

// item is an item of a section with all its fields.
type item struct {
	key    string // identifies the item in both documents
	title  string
	index  int
	values []fieldValue
	keys   []string
}

// CompareDocuments returns what d changes of the document that is in force. It names keys
// only by how many are added and removed.
func CompareDocuments(d, inForce *Document) []Result {
	var out []Result
	version := at(Version, NoIndex, Whole)
	if d.Version <= inForce.Version {
		out = append(out, Result{Severity: Warning, Place: version, Message: fmt.Sprintf("has no effect: version %d is in force, and %d isn't higher", inForce.Version, d.Version)})
	} else {
		out = append(out, difference(version, "version %d becomes %d", inForce.Version, d.Version))
	}
	out = append(out, compareItems(Routes, routeItems(d.Routes), routeItems(inForce.Routes))...)
	out = append(out, compareItems(Services, serviceItems(d.Services), serviceItems(inForce.Services))...)
	out = append(out, compareValues(Limits, NoIndex, "", limitValues(d.Limits), limitValues(inForce.Limits))...)
	switch {
	case d.HasWorkspaces && !inForce.HasWorkspaces:
		out = append(out, difference(at(Workspaces, NoIndex, Whole), "requests need a key from now on, except on public routes"))
	case !d.HasWorkspaces && inForce.HasWorkspaces:
		removed := difference(at(Workspaces, NoIndex, Whole), "requests need no key any more")
		removed.Removed = true
		out = append(out, removed)
	}
	return append(out, compareItems(Workspaces, workspaceItems(d.Workspaces), workspaceItems(inForce.Workspaces))...)
}

func difference(place Place, format string, args ...any) Result {
	return Result{Severity: Difference, Place: place, Message: fmt.Sprintf(format, args...)}
}

func compareItems(section Section, now, before []item) []Result {
	var out []Result
	old := make(map[string]item, len(before))
	for _, b := range before {
		old[b.key] = b
	}
	seen := make(map[string]bool, len(now))
	for _, n := range now {
		seen[n.key] = true
		place := at(section, n.index, Whole)
		b, ok := old[n.key]
		if !ok {
			out = append(out, difference(place, "%s is added%s", n.title, keyCount(", with ", len(n.keys), section)))
			continue
		}
		out = append(out, compareValues(section, n.index, n.title+": ", n.values, b.values)...)
		if added, removed := countNew(n.keys, b.keys), countNew(b.keys, n.keys); added+removed > 0 {
			out = append(out, difference(at(section, n.index, Keys), "%s: %d keys are added, %d removed", n.title, added, removed))
		}
	}
	for _, b := range before {
		if !seen[b.key] {
			removed := difference(at(section, b.index, Whole), "%s is removed%s", b.title, keyCount(", with ", len(b.keys), section))
			removed.Removed = true
			out = append(out, removed)
		}
	}
	return out
}

func keyCount(before string, n int, section Section) string {
	if section != Workspaces {
		return ""
	}
	return fmt.Sprintf("%s%d keys", before, n)
}

// countNew returns how many distinct keys of now are not among before.
func countNew(now, before []string) int {
	distinct := make(map[string]bool, len(now))
	for _, key := range now {
		distinct[key] = true
	}
	for _, key := range before {
		delete(distinct, key)
	}
	return len(distinct)
}

func compareValues(section Section, index int, title string, now, before []fieldValue) []Result {
	var out []Result
	for i := range now {
		if now[i].text != before[i].text {
			out = append(out, difference(at(section, index, now[i].field), "%s%s becomes %s", title, before[i].text, now[i].text))
		}
	}
	return out
}

func routeItems(routes []route.Route) []item {
	out := make([]item, 0, len(routes))
	for i := range routes {
		r := &routes[i]
		shares := make([]string, 0, len(r.Shares))
		for _, s := range r.Shares {
			shares = append(shares, fmt.Sprintf("%q with weight %d", s.Service, s.Weight))
		}
		out = append(out, item{key: routeKey(r), title: fmt.Sprintf("route %q for %s%s", r.Name, r.Host, r.Prefix), index: i, values: []fieldValue{
			{Name, "name " + strconv.Quote(r.Name)},
			{Kind, kindName(r.Kind)},
			{Timeout, "timeout " + r.Timeout.String()},
			{Objective, "latency objective " + r.Objective.String()},
			{EventGap, "objective between events " + r.EventGap.String()},
			{Priority, fmt.Sprintf("priority %d", r.Priority)},
			{Attempts, fmt.Sprintf("attempts %d", r.MaxAttempts)},
			{PromptAware, fmt.Sprintf("prompt parts %t", r.PromptAware)},
			{Resumable, fmt.Sprintf("resumable %t", r.Resumable)},
			{Public, fmt.Sprintf("public %t", r.Public)},
			{Shares, "service " + strings.Join(shares, ", ")},
		}})
	}
	return out
}

func kindName(k route.Kind) string {
	switch k {
	case route.Safe:
		return "safe"
	case route.Streaming:
		return "streaming"
	case route.Unsafe:
	}
	return "unsafe"
}

func serviceItems(services []route.Service) []item {
	out := make([]item, 0, len(services))
	for i := range services {
		s := &services[i]
		var engine route.EngineClass
		if s.Engine != nil {
			engine = *s.Engine
		}
		var scaling route.Scaling
		if s.Scaling != nil {
			scaling = *s.Scaling
		}
		var prices []string
		for _, zone := range slices.Sorted(maps.Keys(scaling.ZonePrices)) {
			prices = append(prices, fmt.Sprintf("%s %g", zone, scaling.ZonePrices[zone]))
		}
		out = append(out, item{key: s.Name, title: fmt.Sprintf("service %q", s.Name), index: i, values: []fieldValue{
			{MaxConns, fmt.Sprintf("connections %d", s.MaxConns)},
			{Engine, fmt.Sprintf("runs a model %t", s.Engine != nil)},
			{Slots, fmt.Sprintf("slots %d", engine.Slots)},
			{KVTokens, fmt.Sprintf("KV cache tokens %d", engine.KVTokens)},
			{TokenBytes, fmt.Sprintf("bytes of a token %d", engine.TokenBytes)},
			{LinkMbps, fmt.Sprintf("bandwidth %g Mbit/s", engine.LinkMbps)},
			{HandleTTL, "prefilled prompts are kept for " + engine.HandleTTL.String()},
			{SwitchTime, "change of phase " + engine.SwitchTime.String()},
			{Scaling, fmt.Sprintf("servers can be ordered %t", s.Scaling != nil)},
			{ScalingMin, fmt.Sprintf("minimum %d", scaling.Min)},
			{ScalingMax, fmt.Sprintf("maximum %d", scaling.Max)},
			{Boot, "start of a server " + scaling.Boot.String()},
			{ReclaimablePrice, fmt.Sprintf("price of reclaimable servers %g", scaling.ReclaimablePrice)},
			{ZonePrices, "prices " + strings.Join(prices, ", ")},
		}})
	}
	return out
}

func limitValues(l route.Limits) []fieldValue {
	return []fieldValue{
		{HeaderBytes, fmt.Sprintf("%d bytes", l.HeaderBytes)},
		{BodyBytes, fmt.Sprintf("%d bytes", l.BodyBytes)},
		{HeaderTimeout, l.HeaderTimeout.String()},
		{IdleTimeout, l.IdleTimeout.String()},
	}
}

func workspaceItems(workspaces []workspace.Definition) []item {
	out := make([]item, 0, len(workspaces))
	for i, w := range workspaces {
		priority := "no priority"
		if w.Priority != nil {
			priority = fmt.Sprintf("priority %d", *w.Priority)
		}
		out = append(out, item{key: w.Name, title: fmt.Sprintf("workspace %.64q", w.Name), index: i, keys: w.Keys, values: []fieldValue{{Priority, priority}}})
	}
	return out
}
