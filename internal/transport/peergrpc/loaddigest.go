package peergrpc

import (
	"errors"
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// loadDigest is the encoded load of all engines, for all entries. An entry subtracts what it
// reported itself.
type loadDigest struct {
	encoded []byte
	madeAt  time.Time
	// reports holds, by watch, the number of the newest report that is included.
	reports map[*entryWatch]uint64
}

// digest returns a digest that is at most fleet.MinLoadInterval old and includes a report of w, if
// there is one. Encoding it for each entry would cost the product of entries and engines.
func (h *FleetHub) digest(w *entryWatch) (encoded []byte, report uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, included := h.loads.reports[w]; !included || time.Since(h.loads.madeAt) >= fleet.MinLoadInterval {
		if err := h.makeDigest(); err != nil {
			return nil, 0, err
		}
	}
	return h.loads.encoded, h.loads.reports[w], nil
}

// makeDigest replaces the digest. The caller holds the lock.
func (h *FleetHub) makeDigest() error {
	var numbers map[string]uint32
	if list := h.engines.Load(); list != nil {
		numbers = list.numbers
	}
	h.digests.encode(h.loadsWithWithdrawn(), numbers)
	h.speeds.encode(&h.digests.message, numbers)
	encoded, err := proto.Marshal(&h.digests.message)
	if err != nil {
		return fmt.Errorf("encode load of %d engines: %w", len(h.digests.message.GetEngines()), err)
	}
	reports := h.loads.reports
	if reports == nil {
		reports = make(map[*entryWatch]uint64, len(h.entries))
	}
	clear(reports)
	for w := range h.entries {
		reports[w] = w.report
	}
	h.loads = loadDigest{encoded: encoded, madeAt: time.Now(), reports: reports}
	return nil
}

// loadsWithWithdrawn iterates over the load of all entries with the withdrawn engines marked.
// The caller holds the lock.
func (h *FleetHub) loadsWithWithdrawn() iter.Seq2[string, fleet.Load] {
	return func(yield func(string, fleet.Load) bool) {
		withdrawn := h.markWithdrawn(h.sum.Of(h.withdrawn))
		for engine, load := range h.sum.Loads() {
			if marked, is := withdrawn.Engines[engine]; is {
				load = marked
				delete(withdrawn.Engines, engine)
			}
			if !yield(engine, load) {
				return
			}
		}
		for engine, load := range withdrawn.Engines {
			if !yield(engine, load) {
				return
			}
		}
	}
}

// digestEncoder brings loads into their wire form. It keeps its buffers: a leader makes 40
// digests a second, and new ones for thousands of engines are most of its garbage.
type digestEncoder struct {
	message peerpb.LoadDigest
	plain   []numberedLoad
}

type numberedLoad struct {
	number uint32
	load   fleet.Load
}

// encode sets the message to the loads. Engines without a number are named.
func (d *digestEncoder) encode(loads iter.Seq2[string, fleet.Load], numbers map[string]uint32) {
	m := &d.message
	d.plain = d.plain[:0]
	m.Others = nil
	m.Engines, m.PromptTokens, m.Streams = m.Engines[:0], m.PromptTokens[:0], m.Streams[:0]
	m.Calls, m.KvTokens = m.Calls[:0], m.KvTokens[:0]
	m.UnequalEngines, m.SlownessPercent = m.UnequalEngines[:0], m.SlownessPercent[:0]
	for engine, load := range loads {
		number := numbers[engine]
		if number == 0 || load.FailingEntries+load.MissingEntries+load.LeavingEntries+load.Withdrawn > 0 {
			m.Others = append(m.Others, fromLoad(engine, load))
			continue
		}
		d.plain = append(d.plain, numberedLoad{number, load})
	}
	slices.SortFunc(d.plain, func(a, b numberedLoad) int { return int(a.number) - int(b.number) })
	last := uint32(0)
	for _, n := range d.plain {
		m.Engines = append(m.Engines, n.number-last)
		m.PromptTokens = append(m.PromptTokens, uint64(max(0, n.load.PromptTokens)))
		m.Streams = append(m.Streams, uint32(max(0, n.load.Streams)))
		m.Calls = append(m.Calls, uint32(max(0, n.load.Calls)))
		m.KvTokens = append(m.KvTokens, uint64(max(0, n.load.KVTokens)))
		last = n.number
	}
}

// errDigest means that a load digest can't be read.
var errDigest = errors.New("load digest invalid")

// decodeDigest returns the loads of a digest. Engines that the list doesn't hold any more
// are left out.
func decodeDigest(m *peerpb.LoadDigest, engines map[uint32]fleet.Engine) (map[string]fleet.Load, error) {
	n := len(m.GetEngines())
	if len(m.GetPromptTokens()) != n || len(m.GetStreams()) != n || len(m.GetCalls()) != n || len(m.GetKvTokens()) != n {
		return nil, fmt.Errorf("%w: %d engines, %d, %d, %d and %d values", errDigest, n,
			len(m.GetPromptTokens()), len(m.GetStreams()), len(m.GetCalls()), len(m.GetKvTokens()))
	}
	out := make(map[string]fleet.Load, n+len(m.GetOthers()))
	number := uint32(0)
	for i, difference := range m.GetEngines() {
		number += difference
		engine, listed := engines[number]
		if !listed {
			continue
		}
		out[engine.ID] = toLoad(&peerpb.EngineLoad{PromptTokens: m.GetPromptTokens()[i], Streams: m.GetStreams()[i], Calls: m.GetCalls()[i], KvTokens: m.GetKvTokens()[i]})
	}
	for _, l := range m.GetOthers() {
		out[l.GetEngine()] = toLoad(l)
	}
	return out, nil
}

// maxKeptReports bounds the reports of a watch that are kept until a digest includes them:
// more than there are between two digests, at the shortest interval.
const maxKeptReports = 64

// reportedWork keeps what an entry lately reported on one watch. It is safe for concurrent
// use.
type reportedWork struct {
	mu sync.Mutex // guards the fields below
	// last is the number of the newest report, and works holds what was reported, by number.
	last  uint64
	works map[uint64]fleet.Work
}

// add records the work of the next report and returns the report's number.
func (r *reportedWork) add(w fleet.Work) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.works == nil {
		r.works = make(map[uint64]fleet.Work)
	}
	r.last++
	r.works[r.last] = w
	delete(r.works, r.last-min(r.last, maxKeptReports))
	return r.last
}

// others returns the load without that of a report. ok is false if the report isn't kept any
// more. Earlier reports are dropped.
func (r *reportedWork) others(all map[string]fleet.Load, report uint64) (others map[string]fleet.Load, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, kept := r.works[report]
	if report != 0 && !kept {
		return nil, false
	}
	for number := range r.works {
		if number < report {
			delete(r.works, number)
		}
	}
	return fleet.Work{Engines: all}.Without(own).Engines, true
}

// applyDigest sets the work of others from a digest, if an update has one.
func applyDigest(update *Update, m *peerpb.FleetUpdate, engines map[uint32]fleet.Engine, reported *reportedWork) error {
	if len(m.GetLoadDigest()) == 0 {
		return nil
	}
	var digest peerpb.LoadDigest
	if err := proto.Unmarshal(m.GetLoadDigest(), &digest); err != nil {
		return fmt.Errorf("%w: %w", errDigest, err)
	}
	all, err := decodeDigest(&digest, engines)
	if err != nil {
		return err
	}
	update.Slowness = toSlowness(&digest, engines)
	update.Others.Engines, update.HasOthers = reported.others(all, m.GetDigestReport())
	return nil
}
