package store

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// encMode encodes deterministically, with sorted map keys, so that equal
// states have equal snapshots.
var encMode = newEncMode()

// decMode decodes snapshots. It raises the codec's default limits on arrays
// and maps, because a large state has more elements than these allow.
var decMode = newDecMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		// The options are constant; failing here is a programming error.
		panic("store: encoding options: " + err.Error())
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		// The options are constant; failing here is a programming error.
		panic("store: decoding options: " + err.Error())
	}
	return mode
}
