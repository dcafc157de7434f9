package loaddigest

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Digest{Node: rapid.Uint16().Draw(t, "node"), Sequence: rapid.Uint32().Draw(t, "sequence")}
		for range rapid.IntRange(1, 20).Draw(t, "engines") {
			d.Engines = append(d.Engines, Engine{
				Role:         rapid.SampledFrom(speed.Roles[:]).Draw(t, "role"),
				Accepting:    rapid.Bool().Draw(t, "accepting"),
				Requests:     rapid.IntRange(0, maxUint16).Draw(t, "requests"),
				PromptTokens: tokensPerUnit * rapid.IntRange(0, maxUint16).Draw(t, "tokens"),
			})
		}
		encoded := d.Encode()
		got, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(got, d) {
			t.Fatalf("Decode = %+v, %v, want %+v", got, err, d)
		}
		if _, err := Decode(encoded[:len(encoded)-1]); !errors.Is(err, ErrShort) {
			t.Fatalf("Decode of a truncated digest: got error %v, want ErrShort", err)
		}
	})
}
