package routing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// publishInterval is the least time between two snapshots that differ only
	// in load reports.
	publishInterval = 50 * time.Millisecond
	// refreshInterval is the age at which a snapshot is rebuilt even without
	// new reports.
	refreshInterval = 500 * time.Millisecond
	// maxReportWeight is the weight of the difference between an engine's
	// report and the mean of its model, when the report is new. With full
	// weight, all entries would send to the same engines until the next report.
	maxReportWeight = 0.2
	// reportWeightDecay is the age at which the weight of a load report has
	// fallen to 1/e.
	reportWeightDecay = 2 * time.Second
	// hintsPerEngine is the number of hints in the prefix index for each
	// engine.
	hintsPerEngine = 16384
	// maxHints bounds the size of a prefix index, in hints.
	maxHints = 1 << 19
)

// Tracker keeps an entry's view of the engines. Writers build a new snapshot
// under a lock; readers load the current one without a lock. Own work is
// counted in atomics that all snapshots share.
type Tracker struct {
	clock        clock.Clock
	snapshot     atomic.Pointer[Snapshot]
	engines      atomic.Pointer[map[string]*trackedEngine]
	dirty        atomic.Bool
	publishedAt  atomic.Int64 // instant of the current snapshot
	customers    sync.Map     // customerKey to *atomic.Int64
	outputRatios outputRatios

	mu            sync.Mutex       // guards the contents of trackedEngine and the fields below
	sortedEngines []*trackedEngine // by model and name
	models        map[string]*trackedModel
}

// trackedEngine is the mutable record of one engine.
type trackedEngine struct {
	Engine
	table    *speed.Table
	prefixes *prefixIndex
	slowdown atomic.Uint64 // bits of a float64
	// drainRequested is true if the settings or the platform's list of leaving
	// VMs require that the engine gets no new work.
	drainRequested bool
	// cacheSeq is the sequence number of the newest cache event.
	cacheSeq uint64
}

// trackedModel is the mutable record of one model.
type trackedModel struct {
	table    *speed.Table
	prefixes *prefixIndex
}

// NewTracker returns a tracker without engines.
func NewTracker(c clock.Clock) *Tracker {
	t := &Tracker{clock: c, models: make(map[string]*trackedModel)}
	t.engines.Store(&map[string]*trackedEngine{})
	t.snapshot.Store(&Snapshot{At: c.Now(), models: map[string]*ModelView{}})
	return t
}

// Snapshot returns the current snapshot. If it is due for a rebuild, the caller
// rebuilds it first, unless another goroutine holds the lock.
func (t *Tracker) Snapshot() *Snapshot {
	age := t.clock.Now().Sub(clock.Instant(t.publishedAt.Load()))
	due := age >= refreshInterval || t.dirty.Load() && age >= publishInterval
	if due && t.mu.TryLock() {
		t.publish()
		t.mu.Unlock()
	}
	return t.snapshot.Load()
}

// Configure replaces the set of engines with that of a new configuration.
// Engines that keep their name and URL keep their load, role and slowdown.
func (t *Tracker) Configure(c *settings.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.engines.Load()
	next := make(map[string]*trackedEngine)
	for name, model := range c.Models {
		m := t.configureModel(name, &model)
		for engine, s := range model.Engines {
			s.Drain = s.Drain || c.ClosedToNewWork(s.URL)
			next[engine] = configureEngine(old[engine], m, name, engine, s)
		}
	}
	t.sortedEngines = sortEngines(next)
	for i, e := range t.sortedEngines {
		e.position = uint16(i)
	}
	t.engines.Store(&next)
	t.publish()
}

func (t *Tracker) configureModel(name string, model *settings.Model) *trackedModel {
	m := t.models[name]
	hints := min(len(model.Engines)*hintsPerEngine, maxHints)
	if m == nil {
		m = &trackedModel{}
		t.models[name] = m
	}
	m.table = speed.FromModel(model)
	// Configure assigns new positions, so hints of the old index are invalid.
	m.prefixes = newPrefixIndex(hints)
	return m
}

func configureEngine(e *trackedEngine, m *trackedModel, model, name string, s settings.Engine) *trackedEngine {
	if e == nil || e.URL != s.URL {
		e = &trackedEngine{Engine: Engine{Name: name, URL: s.URL, Role: settings.RoleMixed, own: &ownWork{}}}
		e.slowdown.Store(math.Float64bits(1))
	}
	next := &trackedEngine{Engine: e.Engine, table: m.table, prefixes: m.prefixes}
	next.slowdown.Store(e.slowdown.Load())
	next.Model = model
	next.Zone = s.Zone
	next.drainRequested = s.Drain
	next.Accepting = !s.Drain && !e.Report.Draining
	return next
}

// ApplyReport applies an engine's load report that was made at the given instant.
func (t *Tracker) ApplyReport(engine string, report backend.LoadReport, at clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := (*t.engines.Load())[engine]
	if !ok {
		return
	}
	accepting := !e.drainRequested && !report.Draining
	urgent := e.Role != report.Role || accepting != e.Accepting || e.Report.Software != report.Software
	if e.Report.Incarnation != report.Incarnation {
		e.prefixes.clear(e.position)
		e.cacheSeq = 0
	}
	own := e.own.workAt(at)
	reported := Work{Requests: float64(report.Queued + report.Running), PromptTokens: float64(report.QueuedPromptTokens)}
	e.Report = report
	e.ReportedAt = at
	e.Role = report.Role
	e.ExternalWork = Work{
		Requests:     max(reported.Requests-own.Requests, 0),
		PromptTokens: max(reported.PromptTokens-own.PromptTokens, 0),
	}
	e.Accepting = accepting
	e.updatePrefillFraction(report.QueuedPromptTokens > 0)
	if urgent {
		t.publish()
		return
	}
	t.dirty.Store(true)
}

// prefillFractionWeight is the weight of one load report in the moving average
// Engine.PrefillFraction.
const prefillFractionWeight = 0.1

func (e *trackedEngine) updatePrefillFraction(waiting bool) {
	sample := 0.0
	if waiting {
		sample = 1
	}
	e.PrefillFraction += prefillFractionWeight * (sample - e.PrefillFraction)
}

// MarkUnreachable marks an engine as unreachable: it gets no new work until its next
// load report.
func (t *Tracker) MarkUnreachable(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := (*t.engines.Load())[engine]
	if !ok || !e.Accepting {
		return
	}
	e.Accepting = false
	t.publish()
}

// publish replaces the snapshot. The caller holds mu.
func (t *Tracker) publish() {
	t.dirty.Store(false)
	now := t.clock.Now()
	s := &Snapshot{At: now, Engines: make([]Engine, len(t.sortedEngines)), models: make(map[string]*ModelView, len(t.models))}
	for i, e := range t.sortedEngines {
		s.Engines[i] = e.Engine
		s.Engines[i].Slowdown = math.Float64frombits(e.slowdown.Load())
	}
	for start := 0; start < len(s.Engines); {
		end := start + 1
		for end < len(s.Engines) && s.Engines[end].Model == s.Engines[start].Model {
			end++
		}
		s.models[s.Engines[start].Model] = t.buildModelView(now, s.Engines[start:end:end])
		start = end
	}
	t.snapshot.Store(s)
	t.publishedAt.Store(int64(now))
}

// buildModelView blends the external work of a model's engines and returns the
// model's view. The caller holds mu.
func (t *Tracker) buildModelView(now clock.Instant, engines []Engine) *ModelView {
	m := t.models[engines[0].Model]
	blendWithMean(now, engines)
	return &ModelView{
		Engines:  engines,
		Speeds:   m.table,
		Capacity: capacityOf(engines),
		prefixes: m.prefixes,
	}
}

// blendWithMean moves each engine's external work towards the mean of its
// model, the further the older its report. The entries level differences
// between engines by themselves, and this entry's own work is known exactly.
func blendWithMean(now clock.Instant, engines []Engine) {
	var mean Work
	for i := range engines {
		mean.Requests += engines[i].ExternalWork.Requests / float64(len(engines))
		mean.PromptTokens += engines[i].ExternalWork.PromptTokens / float64(len(engines))
	}
	for i := range engines {
		age := max(now.Sub(engines[i].ReportedAt).Seconds(), 0)
		weight := maxReportWeight * math.Exp(-age/reportWeightDecay.Seconds())
		external := &engines[i].ExternalWork
		external.Requests = mean.Requests + weight*(external.Requests-mean.Requests)
		external.PromptTokens = mean.PromptTokens + weight*(external.PromptTokens-mean.PromptTokens)
	}
}

func sortEngines(engines map[string]*trackedEngine) []*trackedEngine {
	out := make([]*trackedEngine, 0, len(engines))
	for _, e := range engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *trackedEngine) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	return out
}
