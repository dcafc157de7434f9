package quarantine

// Kept returns how many crashes the detector keeps and the most candidates of one.
func (d *Detector) Kept() (crashes, candidates int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.crashes {
		candidates = max(candidates, len(c.requests))
	}
	return len(d.crashes), candidates
}
