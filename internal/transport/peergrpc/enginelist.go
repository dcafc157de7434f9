package peergrpc

import (
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// engineList is a list of engines in its wire form. It is immutable. Entries get the whole
// list once and then its changes: hundreds of whole lists of thousands of engines, sent at
// each change, exceed a replica's memory and an entry's link.
type engineList struct {
	engines []*peerpb.Engine
	// incomplete is set if there may be other engines.
	incomplete bool
	// generation counts the lists of a hub from 1, and change is what differs from the
	// list before.
	generation uint64
	change     *peerpb.ListChange
	// numbers holds the numbers of the engines by ID. A number is never used for another
	// engine, and lastNumber is the highest one that was ever used.
	numbers    map[string]uint32
	lastNumber uint32

	once       sync.Once
	compressed []byte
	err        error
}

// next returns the list that follows. l is nil before the first one.
func (l *engineList) next(list fleet.List) *engineList {
	out := &engineList{incomplete: list.Incomplete, generation: 1, numbers: make(map[string]uint32, len(list.Engines))}
	held := make(map[uint32]*peerpb.Engine)
	if l != nil {
		out.generation, out.lastNumber = l.generation+1, l.lastNumber
		for _, e := range l.engines {
			held[e.GetNumber()] = e
		}
	}
	out.change = &peerpb.ListChange{Incomplete: list.Incomplete}
	for _, engine := range list.Engines {
		e := fromEngine(engine)
		e.Number = out.numberOf(engine.ID, l)
		out.engines = append(out.engines, e)
		if before := held[e.GetNumber()]; before == nil || !sameEngine(before, e) {
			out.change.Changed = append(out.change.Changed, e)
		}
		delete(held, e.GetNumber())
	}
	for number := range held {
		out.change.Removed = append(out.change.Removed, number)
	}
	slices.Sort(out.change.Removed)
	return out
}

// numberOf returns the number of an engine, which is that in the list before unless the
// engine is new. An ID that is listed again, for another incarnation, gets a new number.
func (l *engineList) numberOf(id string, before *engineList) uint32 {
	number := uint32(0)
	if _, again := l.numbers[id]; !again && before != nil {
		number = before.numbers[id]
	}
	if number == 0 {
		l.lastNumber++
		number = l.lastNumber
	}
	if _, again := l.numbers[id]; !again {
		l.numbers[id] = number
	}
	return number
}

// same reports whether a list has the same engines as another one, which may be nil.
func (l *engineList) same(other *engineList) bool {
	return other != nil && l.incomplete == other.incomplete && slices.EqualFunc(l.engines, other.engines, sameEngine)
}

// whole returns the list as a change that replaces all engines. The list is encoded once
// for all entries.
func (l *engineList) whole() (*peerpb.ListChange, error) {
	l.once.Do(func() {
		encoded, err := proto.Marshal(&peerpb.EngineList{Engines: l.engines})
		if err == nil {
			l.compressed, err = compress(encoded)
		}
		l.err = err
	})
	if l.err != nil {
		return nil, fmt.Errorf("encode list of %d engines: %w", len(l.engines), l.err)
	}
	return &peerpb.ListChange{Whole: l.compressed, Incomplete: l.incomplete}, nil
}

// changeSince returns the change from the list that an entry has, which is nil if it has none.
func (l *engineList) changeSince(held *engineList) (*peerpb.ListChange, error) {
	if held != nil && held.generation+1 == l.generation && len(l.change.GetChanged()) < len(l.engines)/2 {
		return l.change, nil
	}
	return l.whole()
}

// listReader keeps the list of engines of one watch up to date.
type listReader struct {
	engines map[uint32]fleet.Engine
}

// apply applies a change and returns the list.
func (r *listReader) apply(change *peerpb.ListChange) (*fleet.List, error) {
	changed := change.GetChanged()
	if len(change.GetWhole()) > 0 || r.engines == nil {
		encoded, err := decompress(change.GetWhole())
		if err != nil {
			return nil, fmt.Errorf("read list of engines: %w", err)
		}
		var whole peerpb.EngineList
		if err := proto.Unmarshal(encoded, &whole); err != nil {
			return nil, fmt.Errorf("read list of engines: %w", err)
		}
		r.engines, changed = make(map[uint32]fleet.Engine), whole.GetEngines()
	}
	for _, number := range change.GetRemoved() {
		delete(r.engines, number)
	}
	for _, e := range changed {
		engine, err := toEngine(e)
		if err != nil {
			return nil, err
		}
		r.engines[e.GetNumber()] = engine
	}
	out := &fleet.List{Incomplete: change.GetIncomplete()}
	for _, engine := range r.engines {
		out.Engines = append(out.Engines, engine)
	}
	return out, nil
}
