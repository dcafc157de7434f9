package settings

import "slices"

const (
	// maxResultsPerOperator is the maximum number of results cached for one
	// operator.
	maxResultsPerOperator = 64
	// maxCachedResults is the maximum number of results cached for all
	// operators together.
	maxCachedResults = 16384
	// maxReasonBytes is the maximum length of the path or reason in a cached
	// result.
	maxReasonBytes = 512
)

// CachedResult is the result of an executed change. It is returned again if
// the operator resends the change.
type CachedResult struct {
	// Index is the log index of the change.
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint"`
	// Path is the first subtree that the change edits. Edits is the number of
	// edits.
	Path   string       `cbor:"4,keyasint"`
	Edits  int          `cbor:"5,keyasint"`
	Result ChangeResult `cbor:"6,keyasint"`
}

// OperatorResults holds the most recent results of one operator.
type OperatorResults struct {
	// MaxEvicted is the highest change number whose result was evicted.
	MaxEvicted uint64 `cbor:"1,keyasint"`
	// Results is in log index order.
	Results []CachedResult `cbor:"2,keyasint"`
}

// ResultCache maps an operator and a change number to the result of the
// change, so that a resent change is not executed twice. The cache is bounded;
// a number that may have been evicted is refused and never executed as new.
type ResultCache struct {
	Operators map[string]*OperatorResults `cbor:"1,keyasint"`
	// Count is the number of results cached for all operators.
	Count int `cbor:"2,keyasint"`
}

func newResultCache() ResultCache {
	return ResultCache{Operators: make(map[string]*OperatorResults)}
}

// find returns the cached result for a change number.
func (a *ResultCache) find(operator string, number uint64) (CachedResult, bool) {
	kept := a.Operators[operator]
	if kept == nil {
		return CachedResult{}, false
	}
	at := slices.IndexFunc(kept.Results, func(x CachedResult) bool { return x.Number == number })
	if at < 0 {
		return CachedResult{}, false
	}
	return kept.Results[at], true
}

// maxEvicted returns the operator's highest evicted change number, or zero.
// Numbers up to it may have been used even if no result is cached.
func (a *ResultCache) maxEvicted(operator string) uint64 {
	if kept := a.Operators[operator]; kept != nil {
		return kept.MaxEvicted
	}
	return 0
}

// add caches a result and evicts the oldest ones beyond the limits.
func (a *ResultCache) add(operator string, result CachedResult) {
	kept := a.Operators[operator]
	if kept == nil {
		kept = &OperatorResults{}
		a.Operators[operator] = kept
	}
	kept.Results = append(kept.Results, result)
	a.Count++
	if len(kept.Results) > maxResultsPerOperator {
		a.evictOldest(kept)
	}
	if a.Count > maxCachedResults {
		a.evictOldest(a.oldestOperator())
	}
}

// oldestOperator returns the results of the operator whose oldest result has
// the lowest log index.
func (a *ResultCache) oldestOperator() *OperatorResults {
	var oldest *OperatorResults
	for _, kept := range a.Operators {
		if len(kept.Results) == 0 {
			continue
		}
		if oldest == nil || kept.Results[0].Index < oldest.Results[0].Index {
			oldest = kept
		}
	}
	return oldest
}

func (a *ResultCache) evictOldest(kept *OperatorResults) {
	kept.MaxEvicted = max(kept.MaxEvicted, kept.Results[0].Number)
	kept.Results = slices.Delete(kept.Results, 0, 1)
	a.Count--
}
