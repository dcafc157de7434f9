package settings

import "slices"

const (
	// maxResultsPerOperator bounds the answers kept for one operator.
	maxResultsPerOperator = 64
	// maxCachedResults bounds the answers kept for all operators together.
	maxCachedResults = 16384
	// maxReasonBytes bounds the text of a refusal, in bytes.
	maxReasonBytes = 512
)

// CachedResult is a change that was answered, kept to answer it again.
type CachedResult struct {
	// Index is the log index of the change.
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint"`
	// Path is the first subtree that the change edits and Edits how many.
	Path   string       `cbor:"4,keyasint"`
	Edits  int          `cbor:"5,keyasint"`
	Result ChangeResult `cbor:"6,keyasint"`
}

// OperatorResults holds the newest answers of one operator.
type OperatorResults struct {
	// MaxEvicted is the highest number whose answer is no longer kept.
	MaxEvicted uint64 `cbor:"1,keyasint"`
	// Results is ordered by log index.
	Results []CachedResult `cbor:"2,keyasint"`
}

// ResultCache remembers changes by operator and number. Its memory is bounded; a
// number that may have been forgotten is never taken for a new one.
type ResultCache struct {
	Operators map[string]*OperatorResults `cbor:"1,keyasint"`
	// Count is the number of answers kept for all operators.
	Count int `cbor:"2,keyasint"`
}

func newResultCache() ResultCache {
	return ResultCache{Operators: make(map[string]*OperatorResults)}
}

// find returns the answer kept for a number.
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

// maxEvicted returns the highest number of the operator that may have been
// used without its answer being kept.
func (a *ResultCache) maxEvicted(operator string) uint64 {
	if kept := a.Operators[operator]; kept != nil {
		return kept.MaxEvicted
	}
	return 0
}

// add keeps an answer and forgets the oldest ones beyond the bounds.
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

// oldestOperator returns the operator whose oldestOperator answer has the lowest log index.
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
