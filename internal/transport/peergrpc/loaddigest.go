package peergrpc

import (
	"errors"
	"fmt"
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
	work := h.markWithdrawn(h.sum.Without(fleet.Work{}))
	var numbers map[string]uint32
	if list := h.engines.Load(); list != nil {
		numbers = list.numbers
	}
	digest := encodeDigest(work.Engines, numbers)
	h.speeds.encode(digest, numbers)
	encoded, err := proto.Marshal(digest)
	if err != nil {
		return fmt.Errorf("encode load of %d engines: %w", len(work.Engines), err)
	}
	next := loadDigest{encoded: encoded, madeAt: time.Now(), reports: make(map[*entryWatch]uint64, len(h.entries))}
	for w := range h.entries {
		next.reports[w] = w.report
	}
	h.loads = next
	return nil
}

// encodeDigest returns the loads in their wire form. Engines without a number are named.
func encodeDigest(loads map[string]fleet.Load, numbers map[string]uint32) *peerpb.LoadDigest {
	type numbered struct {
		number uint32
		load   fleet.Load
	}
	out, plain := &peerpb.LoadDigest{}, make([]numbered, 0, len(loads))
	for engine, load := range loads {
		number := numbers[engine]
		if number == 0 || load.FailingEntries+load.MissingEntries+load.LeavingEntries+load.Withdrawn > 0 {
			out.Others = append(out.Others, fromLoad(engine, load))
			continue
		}
		plain = append(plain, numbered{number, load})
	}
	slices.SortFunc(plain, func(a, b numbered) int { return int(a.number) - int(b.number) })
	last := uint32(0)
	for _, n := range plain {
		m := fromLoad("", n.load)
		out.Engines = append(out.Engines, n.number-last)
		out.PromptTokens = append(out.PromptTokens, m.GetPromptTokens())
		out.Streams = append(out.Streams, m.GetStreams())
		out.Calls = append(out.Calls, m.GetCalls())
		out.KvTokens = append(out.KvTokens, m.GetKvTokens())
		last = n.number
	}
	return out
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
