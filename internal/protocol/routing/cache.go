package routing

// CacheEvent tells which pieces an engine's prefix cache gained and lost.
// Events come late and with gaps.
type CacheEvent struct {
	// Sequence counts the engine's events from one.
	Sequence uint64
	// Added and Removed are prefix hashes as PrefixHashes makes them.
	Added   []uint64
	Removed []uint64
}

// CacheEvent takes one cache event as a hint. After a gap it is unknown what
// the engine dropped, so its older hints are forgotten; requests sent there
// and later events bring them back.
func (t *Tracker) CacheEvent(engine string, event CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := (*t.engines.Load())[engine]
	if !ok || event.Sequence <= e.cacheSeq {
		return
	}
	if event.Sequence != e.cacheSeq+1 {
		e.prefixes.clear(e.position)
	}
	e.cacheSeq = event.Sequence
	for _, hash := range event.Removed {
		e.prefixes.remove(hash, e.position)
	}
	for _, hash := range event.Added {
		e.prefixes.add(hash, e.position)
	}
}
