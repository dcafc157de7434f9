package fleet

import "iter"

// Work is the unfinished work of one entry or of several.
type Work struct {
	// Engines holds the load by engine id.
	Engines map[string]Load
	// Waiting holds, by service, the number of prompt tokens not sent yet.
	Waiting map[string]int
}

// Sum is a running sum of the work of several entries. It is not safe for
// concurrent use.
type Sum struct {
	engines map[string]engineSum
	waiting map[string]int
}

// engineSum is the total load of all entries at one engine.
type engineSum struct {
	load Load
	// entries counts the entries that report a load for the engine.
	entries int
}

// NewSum returns an empty sum.
func NewSum() *Sum {
	return &Sum{engines: make(map[string]engineSum), waiting: make(map[string]int)}
}

// Add adds an entry's work.
func (s *Sum) Add(w Work) { s.change(w, 1) }

// Remove subtracts work that was added before.
func (s *Sum) Remove(w Work) { s.change(w, -1) }

func (s *Sum) change(w Work, sign int) {
	for engine, load := range w.Engines {
		next := s.engines[engine].plus(load, sign)
		if next.entries == 0 {
			delete(s.engines, engine)
			continue
		}
		s.engines[engine] = next
	}
	for service, tokens := range w.Waiting {
		s.waiting[service] += sign * tokens
		if s.waiting[service] == 0 {
			delete(s.waiting, service)
		}
	}
}

func (e engineSum) plus(load Load, sign int) engineSum {
	return engineSum{load: e.load.plus(load, sign), entries: e.entries + sign}
}

// Loads iterates over the load of all entries by engine ID.
func (s *Sum) Loads() iter.Seq2[string, Load] {
	return func(yield func(string, Load) bool) {
		for engine, sum := range s.engines {
			if !yield(engine, sum.load) {
				return
			}
		}
	}
}

// Of returns the load of all entries at the given engines.
func (s *Sum) Of(engines []string) Work {
	out := Work{Engines: make(map[string]Load, len(engines))}
	for _, engine := range engines {
		if sum, loaded := s.engines[engine]; loaded {
			out.Engines[engine] = sum.load
		}
	}
	return out
}

// WaitingWithout returns the part of Without that waits, by service.
func (s *Sum) WaitingWithout(w Work) map[string]int {
	out := make(map[string]int, len(s.waiting))
	for service, tokens := range s.waiting {
		if rest := tokens - w.Waiting[service]; rest != 0 {
			out[service] = rest
		}
	}
	return out
}

// Without returns the sum minus work that was added before.
func (s *Sum) Without(w Work) Work {
	out := Work{Engines: make(map[string]Load, len(s.engines)), Waiting: make(map[string]int, len(s.waiting))}
	for engine, sum := range s.engines {
		if load, part := w.Engines[engine]; part {
			sum = sum.plus(load, -1)
		}
		if sum.entries > 0 {
			out.Engines[engine] = sum.load
		}
	}
	for service, tokens := range s.waiting {
		if rest := tokens - w.Waiting[service]; rest > 0 {
			out.Waiting[service] = rest
		}
	}
	return out
}

// Without returns the work without another one that is part of it.
func (w Work) Without(part Work) Work {
	out := Work{Engines: make(map[string]Load, len(w.Engines)), Waiting: make(map[string]int, len(w.Waiting))}
	for engine, load := range w.Engines {
		if rest := load.plus(part.Engines[engine], -1); rest != (Load{}) {
			out.Engines[engine] = rest
		}
	}
	for service, tokens := range w.Waiting {
		if rest := tokens - part.Waiting[service]; rest != 0 {
			out.Waiting[service] = rest
		}
	}
	return out
}
