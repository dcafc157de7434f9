package settings

import "slices"

const (
	// answersPerOperator bounds the answers kept for one operator.
	answersPerOperator = 64
	// answersInAll bounds the answers kept for all operators together.
	answersInAll = 16384
	// maxReason bounds the text of a refusal, in bytes.
	maxReason = 512
)

// Answer is a change that was answered, kept to answer it again.
type Answer struct {
	// Index is the log index of the change.
	Index  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	Digest Digest `cbor:"3,keyasint"`
	// Path is the first subtree that the change edits and Edits how many.
	Path   string       `cbor:"4,keyasint"`
	Edits  int          `cbor:"5,keyasint"`
	Result ChangeResult `cbor:"6,keyasint"`
}

// OperatorAnswers holds the newest answers of one operator.
type OperatorAnswers struct {
	// Forgotten is the highest number whose answer is no longer kept.
	Forgotten uint64 `cbor:"1,keyasint"`
	// Answers is ordered by log index.
	Answers []Answer `cbor:"2,keyasint"`
}

// Answers remembers changes by operator and number. Its memory is bounded; a
// number that may have been forgotten is never taken for a new one.
type Answers struct {
	Operators map[string]*OperatorAnswers `cbor:"1,keyasint"`
	// Count is the number of answers kept for all operators.
	Count int `cbor:"2,keyasint"`
}

func newAnswers() Answers {
	return Answers{Operators: make(map[string]*OperatorAnswers)}
}

// find returns the answer kept for a number.
func (a *Answers) find(operator string, number uint64) (Answer, bool) {
	kept := a.Operators[operator]
	if kept == nil {
		return Answer{}, false
	}
	at := slices.IndexFunc(kept.Answers, func(x Answer) bool { return x.Number == number })
	if at < 0 {
		return Answer{}, false
	}
	return kept.Answers[at], true
}

// forgotten returns the highest number of the operator that may have been
// used without its answer being kept.
func (a *Answers) forgotten(operator string) uint64 {
	if kept := a.Operators[operator]; kept != nil {
		return kept.Forgotten
	}
	return 0
}

// remember keeps an answer and forgets the oldest ones beyond the bounds.
func (a *Answers) remember(operator string, answer Answer) {
	kept := a.Operators[operator]
	if kept == nil {
		kept = &OperatorAnswers{}
		a.Operators[operator] = kept
	}
	kept.Answers = append(kept.Answers, answer)
	a.Count++
	if len(kept.Answers) > answersPerOperator {
		a.forgetOldest(kept)
	}
	if a.Count > answersInAll {
		a.forgetOldest(a.oldest())
	}
}

// oldest returns the operator whose oldest answer has the lowest log index.
func (a *Answers) oldest() *OperatorAnswers {
	var oldest *OperatorAnswers
	for _, kept := range a.Operators {
		if len(kept.Answers) == 0 {
			continue
		}
		if oldest == nil || kept.Answers[0].Index < oldest.Answers[0].Index {
			oldest = kept
		}
	}
	return oldest
}

func (a *Answers) forgetOldest(kept *OperatorAnswers) {
	kept.Forgotten = max(kept.Forgotten, kept.Answers[0].Number)
	kept.Answers = slices.Delete(kept.Answers, 0, 1)
	a.Count--
}
