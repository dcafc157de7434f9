package routing

import "slices"

// Filter decides which engines may serve a request.
type Filter interface {
	// Keep reports whether the engine may serve the request.
	Keep(e *Engine, r *Request) bool
}

// Accepting keeps the engines that accept new work.
type Accepting struct{}

// Keep implements Filter.
func (Accepting) Keep(e *Engine, _ *Request) bool {
	return e.Accepting
}

// NotExcluded drops the engines that already failed the request.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(e *Engine, r *Request) bool {
	return !slices.Contains(r.Exclude, e.Name)
}

// SameSoftware drops the engines that can't go on with an answer that another
// software version began.
type SameSoftware struct{}

// Keep implements Filter.
func (SameSoftware) Keep(e *Engine, r *Request) bool {
	return r.Software == nil || e.Report.Software == *r.Software
}

var defaultFilters = []Filter{Accepting{}, NotExcluded{}, SameSoftware{}}

func candidates(v *ModelView, r *Request, filters []Filter) []*Engine {
	out := make([]*Engine, 0, len(v.Engines))
	for i := range v.Engines {
		if keepAll(&v.Engines[i], r, filters) {
			out = append(out, &v.Engines[i])
		}
	}
	return out
}

func keepAll(e *Engine, r *Request, filters []Filter) bool {
	for _, f := range filters {
		if !f.Keep(e, r) {
			return false
		}
	}
	return true
}
