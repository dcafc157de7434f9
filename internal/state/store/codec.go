package store

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// encoding sorts map keys, so that equal states have equal snapshots.
var encoding = newEncoding()

// decoding reads snapshots, whose size only the state itself bounds.
var decoding = newDecoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		// The options are constant; failing here is a programming error.
		panic("store: encoding options: " + err.Error())
	}
	return mode
}

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		// The options are constant; failing here is a programming error.
		panic("store: decoding options: " + err.Error())
	}
	return mode
}
