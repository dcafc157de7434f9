package quarantine

import "fmt"

// Kept returns how many crashes the detector keeps and the most candidates of one.
func (d *Detector) Kept() (crashes, candidates int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.crashes {
		candidates = max(candidates, len(c.requests))
	}
	return len(d.crashes), candidates
}

// Explain returns what is known of a part and what its quarantine lacks.
func (d *Detector) Explain(part string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	c := d.scores(now)[part]
	return fmt.Sprint(d.describeScore(part, c), d.lacks(part, c, now))
}

// CandidatesOf returns the number of candidates of a crash, with those that are not kept.
func (d *Detector) CandidatesOf(engine string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, n := d.crashes[engine].presences()
	return n
}
