package servicecall

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// bookingCommands returns the two ledger commands of a booking whose answer has
// the given length in bytes.
func bookingCommands(b *testing.B, number, answer int) [2][]byte {
	key := ledger.Key{Service: "booking", Customer: "north-estate", IdempotencyKey: fmt.Sprintf("%08d-79b0-4cc3-98c4-dc0c0c07398f", number)}
	digest := make([]byte, 32)
	commands := [2]store.Command{
		{Reserve: &ledger.Reserve{
			Key: key, RequestDigest: digest, Entry: "entry-1", Incarnation: 1 << 40,
			Attempt: "D45C2QUI5NNQ4CXJI3SKMJKMQK", AtUnixMilli: 1 << 40, RetentionMilli: 1 << 30, Call: "collections",
		}},
		{Settle: &ledger.Settle{
			Key: key, Attempt: "D45C2QUI5NNQ4CXJI3SKMJKMQK", RequestDigest: digest, AtUnixMilli: 1 << 40,
			Outcome: ledger.Outcome{State: ledger.Settled, Status: 200, ContentType: "application/json", Body: make([]byte, answer)},
		}},
	}
	var out [2][]byte
	for i := range commands {
		encoded, err := commands[i].Encode()
		if err != nil {
			b.Fatal(err)
		}
		out[i] = encoded
	}
	return out
}

// BenchmarkBooking measures the cost of one booking for the state machine: time,
// log bytes and snapshot bytes, for two answer lengths.
func BenchmarkBooking(b *testing.B) {
	for _, answer := range []int{50, 500} {
		b.Run(fmt.Sprintf("answer=%d", answer), func(b *testing.B) {
			state := store.New()
			index, bytes := uint64(0), 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				commands := bookingCommands(b, int(index), answer)
				b.StartTimer()
				for _, command := range commands {
					index++
					bytes += len(command)
					state.Apply(index, command)
				}
			}
			snapshot, err := state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "log-bytes/booking")
			b.ReportMetric(float64(len(snapshot))/float64(b.N), "snapshot-bytes/booking")
		})
	}
}
