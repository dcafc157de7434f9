package configcheck_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/configcheck"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/workspace"
)

const secret = "s3cret-key"

// validDocument returns a document without findings.
func validDocument() *configcheck.Document {
	return &configcheck.Document{
		Version: 2,
		Routes: []route.Route{
			{Name: "r", Host: "h", Prefix: "/a/", Kind: route.Streaming, Timeout: 8 * time.Second, Objective: time.Second, EventGap: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Shares: []route.Share{{Service: "llm", Weight: 1}}},
			{Name: "s", Host: "h", Prefix: "/", Kind: route.Safe, Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "plain", Weight: 1}}},
		},
		Services: []route.Service{
			{Name: "llm", MaxConns: 370, Engine: &route.EngineClass{Slots: 64}, Scaling: &route.Scaling{Min: 1, Max: 30, ReclaimablePrice: 0.18, ZonePrices: map[string]float64{"a": 1}}},
			{Name: "plain", MaxConns: 110},
		},
		Limits:        route.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
		HasWorkspaces: true,
		Workspaces:    []workspace.Definition{{Workspace: workspace.Workspace{Name: "w"}, Keys: []string{secret, "other"}}},
	}
}

var unknownBudget = configcheck.Options{RetryBudget: -1}

// TestCheckDocument guards against items without effect and contradictions that the check
// misses, and against findings about a sound document.
func TestCheckDocument(t *testing.T) {
	place := func(s configcheck.Section, i int, f configcheck.Field) configcheck.Place {
		return configcheck.Place{Section: s, Index: i, Field: f, Item: configcheck.NoIndex}
	}
	type document = configcheck.Document
	for name, c := range map[string]struct {
		edit     func(*document)
		severity configcheck.Severity
		place    configcheck.Place
		message  string
	}{
		"shadowed prefix":     {func(d *document) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H" }, configcheck.Error, place(configcheck.Routes, 1, configcheck.Prefix), "never matches: route 0"},
		"same route name":     {func(d *document) { d.Routes[1].Name = "r" }, configcheck.Warning, place(configcheck.Routes, 1, configcheck.Name), "same name"},
		"no host":             {func(d *document) { d.Routes[0].Host = "" }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Host), "without a host"},
		"host with a port":    {func(d *document) { d.Routes[0].Host = "h:80" }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Host), "without the port"},
		"host with a slash":   {func(d *document) { d.Routes[0].Host = "h/x" }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Host), "no slash"},
		"prefix with a query": {func(d *document) { d.Routes[0].Prefix = "/a?/" }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Prefix), "question mark"},
		"unknown service": {func(d *document) {
			d.Routes[0].Shares = append(d.Routes[0].Shares, route.Share{Service: "x", Weight: 1})
		}, configcheck.Error, configcheck.Place{Section: configcheck.Routes, Field: configcheck.Shares, Item: 1}, `unknown service "x"`},
		"weight 0":                {func(d *document) { d.Routes[0].Shares = append(d.Routes[0].Shares, route.Share{Service: "plain"}) }, configcheck.Warning, configcheck.Place{Section: configcheck.Routes, Field: configcheck.Shares, Item: 1}, "never gets a request"},
		"service twice":           {func(d *document) { d.Routes[0].Shares = append(d.Routes[0].Shares, d.Routes[0].Shares[0]) }, configcheck.Warning, configcheck.Place{Section: configcheck.Routes, Field: configcheck.Shares, Item: 1}, "more than once"},
		"all weights 0":           {func(d *document) { d.Routes[0].Shares[0].Weight = 0 }, configcheck.Error, place(configcheck.Routes, 0, configcheck.Shares), "add up to zero"},
		"negative weight":         {func(d *document) { d.Routes[0].Shares[0].Weight = -1 }, configcheck.Error, configcheck.Place{Section: configcheck.Routes, Field: configcheck.Shares}, "negative"},
		"timeout under objective": {func(d *document) { d.Routes[0].Objective = 9 * time.Second }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Timeout), "8s is shorter than the latency objective of 9s"},
		"timeout under gap":       {func(d *document) { d.Routes[0].EventGap = 9 * time.Second }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Timeout), "between two events"},
		"resumable, no stream":    {func(d *document) { d.Routes[1].Resumable = true }, configcheck.Warning, place(configcheck.Routes, 1, configcheck.Resumable), "isn't streaming"},
		"gap, no stream":          {func(d *document) { d.Routes[1].EventGap = 1 }, configcheck.Warning, place(configcheck.Routes, 1, configcheck.EventGap), "isn't streaming"},
		"negative objective":      {func(d *document) { d.Routes[1].Objective = -1 }, configcheck.Warning, place(configcheck.Routes, 1, configcheck.Objective), "negative"},
		"negative gap":            {func(d *document) { d.Routes[0].EventGap = -1 }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.EventGap), "negative"},
		"no attempts":             {func(d *document) { d.Routes[0].MaxAttempts = 0 }, configcheck.Warning, place(configcheck.Routes, 0, configcheck.Attempts), "count as 1"},
		"service without name":    {func(d *document) { d.Services[1].Name = "" }, configcheck.Error, place(configcheck.Services, 1, configcheck.Name), "no name"},
		"service defined twice":   {func(d *document) { d.Services = append(d.Services, d.Services[0]) }, configcheck.Warning, place(configcheck.Services, 0, configcheck.Name), "service 2 has the same name"},
		"unused service":          {func(d *document) { d.Services = append(d.Services, route.Service{Name: "x"}) }, configcheck.Warning, place(configcheck.Services, 2, configcheck.Whole), "gets no requests"},
		"slots over connections":  {func(d *document) { d.Services[0].MaxConns = 63 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.Slots), "64 slots can't be used with 63 connections"},
		"negative connections":    {func(d *document) { d.Services[0].MaxConns = -1 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.MaxConns), "negative"},
		"min over max":            {func(d *document) { d.Services[0].Scaling.Min = 31 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ScalingMin), "minimum of 31 is above the maximum of 30"},
		"negative min":            {func(d *document) { d.Services[0].Scaling.Min = -1 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ScalingMin), "negative"},
		"no servers":              {func(d *document) { d.Services[0].Scaling.Min, d.Services[0].Scaling.Max = 0, 0 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ScalingMax), "no server"},
		"no zones":                {func(d *document) { d.Services[0].Scaling.ZonePrices = nil }, configcheck.Warning, place(configcheck.Services, 0, configcheck.Scaling), "no zones"},
		"negative price":          {func(d *document) { d.Services[0].Scaling.ZonePrices["a"] = -1 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ZonePrices), "negative"},
		"negative factor":         {func(d *document) { d.Services[0].Scaling.ReclaimablePrice = -1 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ReclaimablePrice), "negative"},
		"dear reclaimable":        {func(d *document) { d.Services[0].Scaling.ReclaimablePrice = 1 }, configcheck.Warning, place(configcheck.Services, 0, configcheck.ReclaimablePrice), "cost no less"},
		"negative limit":          {func(d *document) { d.Limits.IdleTimeout = -1 }, configcheck.Warning, place(configcheck.Limits, configcheck.NoIndex, configcheck.IdleTimeout), "negative"},
		"workspace without key":   {func(d *document) { d.Workspaces = append(d.Workspaces, workspace.Definition{}) }, configcheck.Warning, place(configcheck.Workspaces, 1, configcheck.Whole), "no key"},
		"key twice":               {func(d *document) { d.Workspaces[0].Keys[1] = secret }, configcheck.Warning, configcheck.Place{Section: configcheck.Workspaces, Field: configcheck.Keys, Item: 1}, "already"},
		"nobody may send":         {func(d *document) { d.Workspaces, d.Routes[0].Public = nil, true }, configcheck.Warning, place(configcheck.Routes, 1, configcheck.Whole), "rejects all requests"},
	} {
		d := validDocument()
		c.edit(d)
		results := configcheck.CheckDocument(d, unknownBudget)
		if !slices.ContainsFunc(results, func(r configcheck.Result) bool {
			return r.Severity == c.severity && r.Place == c.place && strings.Contains(r.Message, c.message)
		}) {
			t.Errorf("%s: got %+v, want %q at %+v", name, results, c.message, c.place)
		}
	}
	if results := configcheck.CheckDocument(validDocument(), unknownBudget); len(results) > 0 {
		t.Errorf("a sound document: got %+v, want nothing", results)
	}
}

// TestAttemptsAreComparedWithTheBudget guards against routes whose attempts the budget can't
// pay for, and against warnings where the budget is unknown.
func TestAttemptsAreComparedWithTheBudget(t *testing.T) {
	for budget, want := range map[float64]int{-1: 0, 0: 1, 0.2: 1, 1: 0} {
		if got := configcheck.CheckDocument(validDocument(), configcheck.Options{RetryBudget: budget}); len(got) != want {
			t.Errorf("budget %g: got %+v, want %d findings", budget, got, want)
		}
	}
}

// TestCompareDocuments guards against changes that aren't shown, and against keys in them.
func TestCompareDocuments(t *testing.T) {
	type document = configcheck.Document
	priority := 3
	for name, c := range map[string]struct {
		edit func(*document)
		want string
	}{
		"timeout":            {func(d *document) { d.Routes[0].Timeout = time.Second }, "timeout 8s becomes timeout 1s"},
		"kind":               {func(d *document) { d.Routes[0].Kind = route.Unsafe }, "streaming becomes unsafe"},
		"public":             {func(d *document) { d.Routes[0].Public = true }, "public false becomes public true"},
		"weight":             {func(d *document) { d.Routes[0].Shares = []route.Share{{Service: "llm", Weight: 2}} }, `"llm" with weight 1 becomes service "llm" with weight 2`},
		"route added":        {func(d *document) { d.Routes = append(d.Routes, route.Route{Name: "n", Host: "h", Prefix: "/n/"}) }, `route "n" for h/n/ is added`},
		"route removed":      {func(d *document) { d.Routes = d.Routes[:1] }, `route "s" for h/ is removed`},
		"order of routes":    {func(d *document) { slices.Reverse(d.Routes) }, ""},
		"slots":              {func(d *document) { d.Services[0].Engine.Slots = 1 }, "slots 64 becomes slots 1"},
		"scaling removed":    {func(d *document) { d.Services[0].Scaling = nil }, "can be ordered true becomes servers can be ordered false"},
		"zone price":         {func(d *document) { d.Services[0].Scaling.ZonePrices["a"] = 2 }, "prices a 1 becomes prices a 2"},
		"limit":              {func(d *document) { d.Limits.BodyBytes = 2 }, "1 bytes becomes 2 bytes"},
		"key added":          {func(d *document) { d.Workspaces[0].Keys = append(d.Workspaces[0].Keys, "n3w-key") }, "1 keys are added, 0 removed"},
		"key replaced":       {func(d *document) { d.Workspaces[0].Keys = []string{"n3w-key", "other"} }, "1 keys are added, 1 removed"},
		"workspace priority": {func(d *document) { d.Workspaces[0].Priority = &priority }, "no priority becomes priority 3"},
		"workspace added": {func(d *document) {
			d.Workspaces = append(d.Workspaces, workspace.Definition{Keys: []string{"n3w-key"}})
		}, "is added, with 1 keys"},
		"workspace removed": {func(d *document) { d.Workspaces = nil }, `workspace "w" is removed, with 2 keys`},
		"no workspaces":     {func(d *document) { d.Workspaces, d.HasWorkspaces = nil, false }, "need no key"},
		"same version":      {func(d *document) { d.Version = 1 }, "version 1 is in force, and 1 isn't higher"},
	} {
		inForce, d := validDocument(), validDocument()
		inForce.Version = 1
		c.edit(d)
		results := configcheck.CompareDocuments(d, inForce)
		matches := c.want == "" && len(results) == 1 // the version alone
		for _, r := range results {
			matches = matches || c.want != "" && strings.Contains(r.Message, c.want)
			if strings.Contains(r.Message, secret) || strings.Contains(r.Message, "n3w-key") {
				t.Errorf("%s: %q holds a key", name, r.Message)
			}
		}
		if !matches {
			t.Errorf("%s: got %+v, want %q", name, results, c.want)
		}
	}
}

// TestLocator guards against wrong lines and columns, also alongside comments, in other cases
// of names, and for values that are absent.
func TestLocator(t *testing.T) {
	l := configcheck.NewLocator([]byte("// c\n{\"a\": [1, /* x */ 2],\n\t\"B\" : {\"c/d\": true}, }"))
	for pointer, want := range map[string][2]int{"": {2, 1}, "/a": {2, 7}, "/a/1": {2, 19}, "/b": {3, 8}, "/B/c/d": {3, 16}, "/b/gone/x": {3, 8}, "/gone": {2, 1}} {
		if line, column := l.Position(pointer); line != want[0] || column != want[1] {
			t.Errorf("%s: got %d:%d, want %v", pointer, line, column, want)
		}
	}
	for _, broken := range []string{"", "{", `{"a`, `{"a": [1,`, strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 100_000)} {
		if line, _ := configcheck.NewLocator([]byte(broken)).Position("/a/0"); line != 1 {
			t.Errorf("%.20q: got line %d, want 1", broken, line)
		}
	}
}

// TestDetect guards against configurations that are checked as the wrong format.
func TestDetect(t *testing.T) {
	for content, want := range map[string]configcheck.Format{
		`{"version": 1}`: configcheck.DocumentFormat, "": configcheck.DocumentFormat, "{": configcheck.DocumentFormat, `{"ver`: configcheck.DocumentFormat, "{}": configcheck.DocumentFormat,
		"// settings version 3\n{": configcheck.Tree, ` {"system": `: configcheck.Tree, `{"team/x": {`: configcheck.Tree, "{ /* c */ }": configcheck.Tree,
	} {
		if got := configcheck.Detect([]byte(content)); got != want {
			t.Errorf("%q: got %s, want %s", content, got, want)
		}
	}
}
